use std::cell::RefCell;
use std::rc::Rc;

use carobwick_core::gateway::Admission;
use carobwick_core::gateway::ConnectionId;
use carobwick_core::gateway::ConnectionLimit;
use carobwick_core::gateway::MemoryUse;
use carobwick_runtime::now;
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::buffer::BufferBudget;
use crate::buffer::BufferShare;
use crate::buffer::budget_bytes;
use crate::caller_stream::ReadDeadline;
use crate::log_throttle::LogThrottle;

/// Descriptors that the operators reserve for files.
const RESERVED_FDS: usize = 200;
/// Fraction of the other descriptors that callers may use. Each of their requests may need a second one for its endpoint;
/// the store and the other instances need some too.
const FD_FRACTION: f64 = 0.5;
/// Memory of one connection: its read buffer, its write buffer and its tasks.
const CONNECTION_BYTES: usize = 16 << 10;
/// Largest fraction of the memory budget that connections may use.
const MEMORY_FRACTION: f64 = 0.5;

/// Connections of the callers of an instance.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    limit: RefCell<ConnectionLimit>,
    /// Cancelled when the connection must be closed.
    closing: RefCell<IndexMap<ConnectionId, CancellationToken>>,
    buffers: Rc<BufferBudget>,
    closed_log: LogThrottle,
}

/// A connection of a caller, which counts until this is dropped.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    connections: Rc<CallerConnections>,
    id: ConnectionId,
    /// Cancelled when the connection must be closed.
    pub closing: CancellationToken,
    /// Time until which the caller may pause while it reads.
    pub read_deadline: ReadDeadline,
    _share: BufferShare,
}

/// A request on a connection, which is not idle until this is dropped.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    connection: Rc<CallerConnection>,
}

impl CallerConnections {
    /// Creates the connections of an instance with limits of its memory, in MB, and of its descriptors.
    pub fn new(memory: f64, max_fds: Option<usize>, buffers: &Rc<BufferBudget>) -> Rc<Self> {
        let by_memory = budget_bytes(memory * MEMORY_FRACTION) / CONNECTION_BYTES;
        let by_fds = max_fds
            .map_or(usize::MAX, |fds| (fds.saturating_sub(RESERVED_FDS) as f64 * FD_FRACTION) as usize);
        Rc::new(Self {
            limit: RefCell::new(ConnectionLimit::new(by_memory.min(by_fds))),
            closing: RefCell::default(),
            buffers: Rc::clone(buffers),
            closed_log: LogThrottle::default(),
        })
    }

    /// Accepts a connection, if need be in place of an idle one; returns whether any was closed or refused, and the
    /// connection if it was accepted.
    pub fn admit(self: &Rc<Self>) -> (bool, Option<CallerConnection>) {
        let admission = self.limit.borrow_mut().admit(now());
        match admission {
            Admission::Accepted(id) => (false, Some(self.open_connection(id))),
            Admission::Replaced { accepted, closed } => {
                if let Some(closing) = self.closing.borrow_mut().swap_remove(&closed) {
                    closing.cancel();
                }
                self.log_closed();
                (true, Some(self.open_connection(accepted)))
            }
            Admission::Refused => {
                self.log_closed();
                (true, self.admit_beyond())
            }
        }
    }

    /// Accepts a connection in place of one whose request makes no progress, if there is one.
    fn admit_beyond(self: &Rc<Self>) -> Option<CallerConnection> {
        if !self.limit.borrow().has_excess() || !self.buffers.shed_stalled_body() {
            return None;
        }
        let admitted = self.limit.borrow_mut().admit_beyond(now());
        admitted.map(|id| self.open_connection(id))
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.limit.borrow().open()
    }

    fn open_connection(self: &Rc<Self>, id: ConnectionId) -> CallerConnection {
        let closing = CancellationToken::new();
        self.closing.borrow_mut().insert(id, closing.clone());
        let share = self.buffers.open_share(MemoryUse::Running);
        // A running account of up to `SMALL_BYTES` is never refused memory; bodies are shed for it.
        let _granted = share.resize(CONNECTION_BYTES);
        CallerConnection {
            connections: Rc::clone(self),
            id,
            closing,
            read_deadline: ReadDeadline::default(),
            _share: share,
        }
    }

    fn log_closed(&self) {
        if let Some(count) = self.closed_log.count() {
            let open = self.open();
            tracing::warn!(
                "gateway: {count} connections closed or refused beyond the limit, {open} are open"
            );
        }
    }
}

impl CallerConnection {
    /// Begins a request on the connection.
    pub fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.connections.limit.borrow_mut().record_request(self.id);
        ActiveRequest { connection: Rc::clone(self) }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.connections.limit.borrow_mut().remove(self.id);
        self.connections.closing.borrow_mut().swap_remove(&self.id);
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let connection = &self.connection;
        connection.connections.limit.borrow_mut().record_idle(connection.id, now());
    }
}
