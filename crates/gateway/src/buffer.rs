use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use carobwick_core::gateway::AccountId;
use carobwick_core::gateway::MemoryBudget;
use carobwick_core::gateway::MemoryUse;
use carobwick_core::gateway::Resize;
use carobwick_runtime::now;
use http_body::Body;
use http_body_util::BodyExt;
use indexmap::IndexMap;
use tokio_util::sync::CancellationToken;

use crate::Category;
use crate::Error;
use crate::Result;
use crate::connection::READ_BUFFER_BYTES;
use crate::log_throttle::LogThrottle;

/// Fraction of an instance's memory that bodies, responses and connections may use together. The rest is for the program,
/// the connections to endpoints, and what the allocator can't reuse.
const MEMORY_FRACTION: f64 = 0.4;

/// Memory of a stream whose caller does not read: the read buffer of the connection to its endpoint, the events that were read
/// before, and those that wait to be written. Each of them is at most as large as the read buffer.
const STREAM_BYTES: usize = 3 * READ_BUFFER_BYTES;

/// Memory that the requests of all callers of an instance may use together.
///
/// A limit for each request alone would let faulty endpoints and callers use as many times as much as there are requests.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    budget: RefCell<MemoryBudget>,
    holders: RefCell<IndexMap<AccountId, Rc<Holder>>>,
    shed_log: LogThrottle,
}

/// Part of the budget that one request uses; dropping it returns the part.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: Rc<BufferBudget>,
    id: AccountId,
    holder: Rc<Holder>,
}

/// Sizes of the buffer of a request body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Size with the first bytes of the body.
    pub first: usize,
    /// Longest body.
    pub max: usize,
}

/// What is dropped or cancelled when a request is shed.
#[derive(Debug, Default)]
struct Holder {
    /// Incomplete body, which is dropped at once: the task that reads it may run only after others have used the
    /// memory.
    body: RefCell<Vec<u8>>,
    shed: CancellationToken,
    /// Closes the connection of a caller that does not read its response.
    closing: RefCell<Option<CancellationToken>>,
}

impl BufferBudget {
    /// Creates the budget of an instance with the given memory limit, in MB.
    pub fn new(memory: f64) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(MemoryBudget::new(budget_bytes(memory))),
            holders: RefCell::default(),
            shed_log: LogThrottle::default(),
        })
    }

    /// Opens a share, which uses nothing yet.
    pub fn open_share(self: &Rc<Self>, purpose: MemoryUse) -> BufferShare {
        let id = self.budget.borrow_mut().open(purpose, now());
        let holder = Rc::new(Holder::default());
        self.holders.borrow_mut().insert(id, Rc::clone(&holder));
        BufferShare { budget: Rc::clone(self), id, holder }
    }

    /// Opens the share of a stream on its way to its caller; `closing` closes the caller's connection if the stream is shed.
    pub fn open_stream(self: &Rc<Self>, closing: CancellationToken) -> BufferShare {
        let share = self.open_share(MemoryUse::Running);
        *share.holder.closing.borrow_mut() = Some(closing);
        share
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.budget.borrow().used()
    }

    /// Sheds the request whose body has stalled longest; returns whether there was one.
    pub fn shed_stalled_body(&self) -> bool {
        let victim = self.budget.borrow_mut().shed_stalled_body(now());
        if let Some(victim) = victim {
            self.shed(victim);
        }
        victim.is_some()
    }

    fn shed(&self, victim: AccountId) {
        let Some(holder) = self.holders.borrow_mut().swap_remove(&victim) else { return };
        drop(holder.body.take());
        holder.shed.cancel();
        if let Some(closing) = holder.closing.take() {
            closing.cancel();
        }
        if let Some(count) = self.shed_log.count() {
            let used = self.used() >> 10;
            tracing::warn!(
                "gateway: {count} requests shed for lack of memory or connections, {used} KiB are used"
            );
        }
    }
}

/// Returns the budget of an instance with the given memory limit, in MB.
pub(crate) fn budget_bytes(memory: f64) -> usize {
    (memory * MEMORY_FRACTION * f64::from(1 << 20)) as usize
}

impl BufferShare {
    /// Sets the size of the request's buffer, in bytes. Other requests may be shed for it.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Busy`] if the buffer grows and the memory is used up, or if the request has been shed.
    pub fn resize(&self, size: usize) -> Result<()> {
        loop {
            let resize = self.budget.budget.borrow_mut().resize(self.id, size, now());
            match resize {
                Resize::Granted => return Ok(()),
                Resize::Shed(victim) => {
                    self.budget.shed(victim);
                    if victim == self.id {
                        return Err(used_up());
                    }
                }
                Resize::Refused => return Err(used_up()),
            }
        }
    }

    /// Sets what the memory is used for.
    pub fn set_purpose(&self, purpose: MemoryUse) {
        self.budget.budget.borrow_mut().set_purpose(self.id, purpose, now());
    }

    /// Records that the request has received or sent so many bytes.
    pub fn record_moved(&self, bytes: usize) {
        self.budget.budget.borrow_mut().record_moved(self.id, bytes, now());
    }

    /// Marks the memory as a response that waits for its caller; `closing` closes the caller's connection.
    pub fn begin_sending(&self, closing: CancellationToken) {
        *self.holder.closing.borrow_mut() = Some(closing);
        self.set_purpose(MemoryUse::Sending);
    }

    /// Marks the memory of a stream as waiting for its caller, who has not taken the last events. Others may be shed for it.
    pub fn set_unread(&self) {
        loop {
            let victim = self.budget.budget.borrow_mut().set_unread(self.id, STREAM_BYTES, now());
            let Some(victim) = victim else { return };
            self.budget.shed(victim);
        }
    }

    /// Marks a stream as read by its caller so far; it uses nothing that waits for the caller.
    pub fn set_read(&self) {
        self.budget.budget.borrow_mut().set_read(self.id, 0, now());
    }

    /// Waits until the request is shed.
    pub async fn wait_shed(&self) {
        self.holder.shed.cancelled().await;
    }

    /// Appends bytes to the incomplete body, which must not exceed its limit with them.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::resize`] does.
    pub fn append(&self, data: &[u8], limits: BodyLimits) -> Result<()> {
        self.record_moved(data.len());
        if let Some(capacity) = self.next_capacity(data.len(), limits) {
            self.resize(capacity)?;
            let mut body = self.holder.body.borrow_mut();
            let additional = capacity - body.len();
            body.reserve_exact(additional);
        }
        self.holder.body.borrow_mut().extend_from_slice(data);
        Ok(())
    }

    /// Returns the capacity to which the buffer must grow for so many bytes more, or none if it has room.
    fn next_capacity(&self, additional: usize, limits: BodyLimits) -> Option<usize> {
        let body = self.holder.body.borrow();
        let needed = body.len() + additional;
        // Doubled, since a declared length alone costs a caller nothing, and growth by constant steps copies too often.
        let wanted = needed.max(2 * body.capacity()).max(limits.first);
        (needed > body.capacity()).then(|| wanted.min(limits.max))
    }

    /// Takes the body, which is whole; the request can't be shed any more.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Busy`] if the request has been shed, and its body dropped.
    pub fn take_body(&self) -> Result<Bytes> {
        if self.holder.shed.is_cancelled() {
            return Err(used_up());
        }
        self.set_purpose(MemoryUse::Running);
        Ok(Bytes::from(self.holder.body.take()))
    }

    /// Returns the number of bytes of the incomplete body.
    pub fn body_length(&self) -> usize {
        self.holder.body.borrow().len()
    }
}

fn used_up() -> Error {
    Error::new(Category::Busy, "the memory for requests is used up")
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.budget.borrow_mut().close(self.id);
        self.budget.holders.borrow_mut().swap_remove(&self.id);
    }
}

/// Reads a whole body of at most `max` bytes into one buffer, whose size `on_growth` is told.
///
/// # Errors
///
/// Fails with [`Category::Lost`] if the body breaks off, with [`Category::Codec`] if it exceeds `max` bytes, and as
/// `on_growth` does.
pub(crate) async fn read_whole<B>(
    mut body: B,
    max: usize,
    mut on_growth: impl FnMut(usize) -> Result<()>,
) -> Result<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| Error::new(Category::Lost, err.to_string()))?;
        // Trailers are ignored.
        let data = frame.into_data().unwrap_or_default();
        if buffer.len() + data.len() > max {
            return Err(Error::new(Category::Codec, format!("the body exceeds {max} bytes")));
        }
        // Chunks are copied into one buffer: kept as they arrive, those of a few bytes would use many times their size.
        buffer.extend_from_slice(&data);
        on_growth(buffer.capacity())?;
    }
    Ok(buffer.freeze())
}
