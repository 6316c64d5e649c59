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

/// Longest head that is inspected; the HTTP library rejects longer ones itself.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Result of inspecting the head of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadCheck {
    /// It has at most one length and no line that parsers may split differently.
    Unambiguous,
    /// Parsers may disagree on the end of the body or of a line, which allows request smuggling.
    Ambiguous,
    /// The head arrived together with the previous request and was not inspected.
    Unchecked,
}

/// Inspects the heads of requests before the HTTP library parses them, to prevent request smuggling.
///
/// The library accepts a head with two lengths, picks one of them and hides the other. The bytes that follow
/// on such a connection would be parsed as a request that no caller sent.
#[derive(Debug, Clone, Default)]
pub struct HeadInspector {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    head: Vec<u8>,
    result: Option<HeadCheck>,
    /// Whether the bytes that arrive belong to a body.
    in_body: bool,
}

/// Byte stream that passes what it reads to a [`HeadInspector`].
#[derive(Debug)]
pub(crate) struct InspectedStream<T> {
    inner: T,
    inspector: HeadInspector,
}

impl HeadInspector {
    /// Returns the result for the request that is being served, and expects its body next.
    pub fn take_result(&self) -> HeadCheck {
        let mut state = self.state.borrow_mut();
        state.in_body = true;
        state.head.clear();
        state.result.take().unwrap_or(HeadCheck::Unchecked)
    }

    /// Marks the body as read, so that the next bytes begin a head.
    pub fn body_read(&self) {
        self.state.borrow_mut().in_body = false;
    }

    /// Inspects the next bytes of the connection.
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
