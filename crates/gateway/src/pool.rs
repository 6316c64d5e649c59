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
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Part of the endpoint's idle time after which a connection is not used again; its close may be under way.
const USABLE_IDLE_FRACTION: f64 = 0.6;
/// Idle connections kept per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Idle connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<Key, Vec<IdleConnection>>>,
}

type Key = (EndpointId, Incarnation, SocketAddr);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Time,
}

impl Pool {
    /// Returns a connection to an endpoint, an idle one if there is any.
    ///
    /// # Errors
    ///
    /// Fails if a new connection can't be made within `timeout`.
    pub async fn take(&self, choice: &Choice, timeout: Duration) -> Result<Connection> {
        while let Some(mut connection) = self.pop(choice) {
            // The end of the last answer may not have been seen by the connection's task yet.
            let ready = tokio::time::timeout(timeout, connection.wait_ready()).await;
            if ready == Ok(true) {
                return Ok(connection);
            }
        }
        Connection::connect(choice.addr, timeout).await
    }

    /// Keeps a connection whose answer has ended.
    pub fn put(&self, choice: &Choice, connection: Connection, idle_timeout: Option<Duration>) {
        if connection.is_closed() {
            return;
        }
        let expires = now()
            + idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.mul_f64(USABLE_IDLE_FRACTION));
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(pool_key(choice)).or_default();
        if kept.len() < MAX_IDLE_CONNECTIONS {
            kept.push(IdleConnection { connection, expires });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn close_expired(&self) {
        let now = now();
        self.idle.borrow_mut().retain(|_, kept| {
            kept.retain(|idle| now < idle.expires && !idle.connection.is_closed());
            !kept.is_empty()
        });
    }

    /// Closes the idle connections to a run of an endpoint.
    pub fn close_incarnation(&self, id: &EndpointId, incarnation: Incarnation) {
        self.idle.borrow_mut().retain(|(of, kept, _), _| of != id || *kept != incarnation);
    }

    fn pop(&self, choice: &Choice) -> Option<Connection> {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&pool_key(choice))?;
        while let Some(idle) = kept.pop() {
            if now < idle.expires && !idle.connection.is_closed() {
                return Some(idle.connection);
            }
        }
        None
    }
}

fn pool_key(choice: &Choice) -> Key {
    (choice.id.clone(), choice.run, choice.addr)
}
