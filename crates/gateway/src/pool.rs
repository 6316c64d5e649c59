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

/// Idle timeout of a connection whose endpoint announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Fraction of the endpoint's idle timeout for which a connection is reused. Later, the endpoint may already
/// be closing it.
const USABLE_IDLE_FRACTION: f64 = 0.6;
/// Longest body that each endpoint receives without reading it. The receive buffers of common systems begin at 16 KiB.
const MAX_UNREAD_BYTES: usize = 16 << 10;
/// Idle connections kept for one incarnation of an endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Pool of idle connections to endpoints.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<IndexMap<Key, Vec<IdleConnection>>>,
}

type Key = (EndpointId, Incarnation, SocketAddr, Purpose);

/// What a connection carries.
///
/// Responses to calls of the system itself have no attempt id. On a connection that callers' requests share, a late
/// copy of one could pass for the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    /// Callers' requests.
    Requests,
    /// Calls of the system itself, such as queries of an engine's state.
    Calls,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Time,
}

impl Pool {
    /// Returns an idle connection to an endpoint that has carried nothing else than `purpose`, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened within `timeout`.
    pub async fn take(&self, choice: &Choice, purpose: Purpose, timeout: Duration) -> Result<Connection> {
        while let Some(mut connection) = self.pop(choice, purpose) {
            // The connection's task may not have processed the end of the last response yet.
            let ready = tokio::time::timeout(timeout, connection.wait_ready()).await;
            if ready == Ok(true) {
                return Ok(connection);
            }
        }
        Connection::connect(choice.addr, timeout).await
    }

    /// Returns a connection for a request with a body of so many bytes: a new one if the endpoint must read before the whole body
    /// has arrived, since it may pause then for longer than the time after which a peer counts as gone.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be opened within `timeout`.
    pub async fn take_for_body(
        &self,
        choice: &Choice,
        bytes: usize,
        timeout: Duration,
    ) -> Result<Connection> {
        if bytes > MAX_UNREAD_BYTES {
            return Connection::connect_for_upload(choice.addr, timeout).await;
        }
        self.take(choice, Purpose::Requests, timeout).await
    }

    /// Returns a connection to the pool after its response has ended; `idle_timeout` is what the endpoint
    /// announced.
    ///
    /// The response must have been tied to its request, since a connection that is out of step stays so.
    pub fn put(
        &self,
        choice: &Choice,
        purpose: Purpose,
        connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        if !connection.is_reusable() {
            return;
        }
        let expires = now()
            + idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.mul_f64(USABLE_IDLE_FRACTION));
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(pool_key(choice, purpose)).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { connection, expires });
        }
    }

    /// Closes connections whose idle timeout has expired.
    pub fn close_expired(&self) {
        let now = now();
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|idle| now < idle.expires && !idle.connection.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an incarnation of an endpoint.
    pub fn close_incarnation(&self, id: &EndpointId, incarnation: Incarnation) {
        self.idle
            .borrow_mut()
            .retain(|(key_id, key_incarnation, ..), _| key_id != id || *key_incarnation != incarnation);
    }

    fn pop(&self, choice: &Choice, purpose: Purpose) -> Option<Connection> {
        let now = now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&pool_key(choice, purpose))?;
        while let Some(pooled) = connections.pop() {
            if now < pooled.expires && !pooled.connection.is_closed() {
                return Some(pooled.connection);
            }
        }
        None
    }
}

fn pool_key(choice: &Choice, purpose: Purpose) -> Key {
    (choice.id.clone(), choice.incarnation, choice.addr, purpose)
}
