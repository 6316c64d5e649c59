use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use carobwick_core::block_length;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Longest head that is looked at; the HTTP library refuses longer ones itself.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// What was seen of the head of a request on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadCheck {
    /// It has one meaning.
    Unambiguous,
    /// Two readers could see different ends of its body or of its lines.
    Ambiguous,
    /// It arrived together with the request before it and was not looked at.
    Unchecked,
}

/// Looks at the heads of requests before the HTTP library takes them apart.
///
/// The library settles a head with two lengths by itself and does not show that there were two. The next bytes on such
/// a connection would be taken for a request that no caller sent.
#[derive(Debug, Clone, Default)]
pub struct HeadInspector {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    head: Vec<u8>,
    result: Option<HeadCheck>,
    /// Whether the next bytes belong to a body.
    in_body: bool,
}

/// A connection whose heads are looked at.
#[derive(Debug)]
pub(crate) struct InspectedStream<T> {
    inner: T,
    inspector: HeadInspector,
}

impl HeadInspector {
    /// Returns what was seen of the head of the request that is being served.
    pub fn take_result(&self) -> HeadCheck {
        let mut state = self.state.borrow_mut();
        state.in_body = true;
        state.head.clear();
        state.result.take().unwrap_or(HeadCheck::Unchecked)
    }

    /// Notes that the body was read, so that the next bytes begin a head.
    pub fn body_read(&self) {
        self.state.borrow_mut().in_body = false;
    }

    /// Looks at the next bytes of the connection.
    pub fn inspect(&self, bytes: &[u8]) {
        let mut state = self.state.borrow_mut();
        if state.in_body || state.result.is_some() {
            return;
        }
        state.head.extend_from_slice(bytes);
        if let Some(end) = block_length(&state.head) {
            state.result = Some(check(&state.head[..end]));
            state.head.clear();
        } else if state.head.len() > MAX_HEAD_BYTES {
            state.result = Some(HeadCheck::Ambiguous);
            state.head.clear();
        }
    }
}

impl<T> InspectedStream<T> {
    pub fn new(inner: T, inspector: HeadInspector) -> Self {
        Self { inner, inspector }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for InspectedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.inspector.inspect(&buf.filled()[before..]);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for InspectedStream<T> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

fn check(head: &[u8]) -> HeadCheck {
    let mut lengths = 0;
    let mut encodings = 0;
    for line in head.split_inclusive(|byte| *byte == b'\n') {
        let folded = line.starts_with(b" ") || line.starts_with(b"\t");
        if !line.ends_with(b"\r\n") || folded {
            return HeadCheck::Ambiguous;
        }
        lengths += u32::from(has_name(line, b"content-length"));
        encodings += u32::from(has_name(line, b"transfer-encoding"));
    }
    if lengths + encodings > 1 { HeadCheck::Ambiguous } else { HeadCheck::Unambiguous }
}

fn has_name(line: &[u8], name: &[u8]) -> bool {
    let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
    line[..colon].trim_ascii().eq_ignore_ascii_case(name)
}
