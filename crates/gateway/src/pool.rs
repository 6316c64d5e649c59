use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::Time;
use carobwick_core::gateway::Choice;
use carobwick_runtime::now;
use indexmap::IndexMap;

use crate::Connection;
use crate::Result;

/// Idle time of a connection if the endpoint does not say how long it keeps one.
const IDLE: Duration = Duration::from_secs(2);
/// Part of the endpoint's idle time after which a connection is not used again; its close may be under way.
const IDLE_PART: f64 = 0.6;
/// Idle connections kept per endpoint.
const KEPT: usize = 16;

/// Idle connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<Key, Vec<Idle>>>,
}

type Key = (EndpointId, Incarnation, SocketAddr);

#[derive(Debug)]
struct Idle {
    link: Connection,
    until: Time,
}

impl Pool {
    /// Returns a connection to an endpoint, an idle one if there is any.
    ///
    /// # Errors
    ///
    /// Fails if a new connection can't be made within `timeout`.
    pub async fn take(&self, choice: &Choice, timeout: Duration) -> Result<Connection> {
        while let Some(mut link) = self.pop(choice) {
            // The end of the last answer may not have been seen by the connection's task yet.
            let ready = tokio::time::timeout(timeout, link.is_ready()).await;
            if ready == Ok(true) {
                return Ok(link);
            }
        }
        Connection::connect(choice.addr, timeout).await
    }

    /// Keeps a connection whose answer has ended.
    pub fn put(&self, choice: &Choice, link: Connection, keep: Option<Duration>) {
        if link.is_closed() {
            return;
        }
        let until = now() + keep.map_or(IDLE, |keep| keep.mul_f64(IDLE_PART));
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(key_of(choice)).or_default();
        if kept.len() < KEPT {
            kept.push(Idle { link, until });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn tidy(&self) {
        let now = now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| now < idle.until && !idle.link.is_closed());
            !kept.is_empty()
        });
    }

    /// Closes the idle connections to a run of an endpoint.
    pub fn drop_run(&self, id: &EndpointId, run: Incarnation) {
        self.idle.borrow_mut().retain(|(of, kept, _), _| of != id || *kept != run);
    }

    fn pop(&self, choice: &Choice) -> Option<Connection> {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&key_of(choice))?;
        while let Some(idle) = kept.pop() {
            if now < idle.until && !idle.link.is_closed() {
                return Some(idle.link);
            }
        }
        None
    }
}

fn key_of(choice: &Choice) -> Key {
    (choice.id.clone(), choice.incarnation, choice.addr)
}
