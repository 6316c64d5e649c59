use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body::Body;
use http_body_util::BodyExt;

use crate::Category;
use crate::Error;
use crate::Result;

/// Fraction of an instance's memory that the buffers of responses may use together.
const MEMORY_FRACTION: f64 = 0.25;
/// Buffer of one response that does not count, so that large responses do not displace small ones.
const FREE_BYTES: usize = 32 << 10;

/// Memory that the buffers of all responses of an instance may use together.
///
/// A limit for each response alone would let a faulty endpoint use as many times as much as there are requests.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    used: Cell<usize>,
}

/// Part of the budget that one response uses; dropping it returns the part.
#[derive(Debug)]
pub(crate) struct BufferShare {
    budget: Rc<BufferBudget>,
    used: usize,
}

impl BufferBudget {
    /// Creates the budget of an instance with the given memory limit, in MB.
    pub fn new(memory: f64) -> Rc<Self> {
        let limit = (memory * MEMORY_FRACTION) * f64::from(1 << 20);
        Rc::new(Self { limit: limit as usize, used: Cell::new(0) })
    }

    /// Opens the share of a response, which uses nothing yet.
    pub fn open_share(self: &Rc<Self>) -> BufferShare {
        BufferShare { budget: Rc::clone(self), used: 0 }
    }
}

impl BufferShare {
    /// Sets the size of the response's buffer, in bytes.
    ///
    /// # Errors
    ///
    /// Fails with [`Category::Busy`] if the buffer grows and the buffers of all responses together would exceed the
    /// budget.
    pub fn resize(&mut self, size: usize) -> Result<()> {
        let wanted = size.saturating_sub(FREE_BYTES);
        let used = self.budget.used.get() - self.used + wanted;
        if wanted > self.used && used > self.budget.limit {
            return Err(Error::new(Category::Busy, "the memory for responses is used up"));
        }
        self.budget.used.set(used);
        self.used = wanted;
        Ok(())
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.used);
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
        // Kept as they arrive, chunks of a few bytes would use many times their size.
        buffer.extend_from_slice(&data);
        on_growth(buffer.capacity())?;
    }
    Ok(buffer.freeze())
}
