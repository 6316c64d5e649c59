use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// A TCP stream on which reads and writes stay pending after the server was frozen.
///
/// A freeze affects only the streams that were open at that time.
#[derive(Debug)]
pub(crate) struct FreezableStream {
    stream: TcpStream,
    freeze_count: Arc<AtomicU64>,
    initial_count: u64,
    exempt: Arc<AtomicBool>,
}

impl FreezableStream {
    pub(crate) fn new(stream: TcpStream, freeze_count: Arc<AtomicU64>, exempt: Arc<AtomicBool>) -> Self {
        let initial_count = freeze_count.load(Ordering::SeqCst);
        Self { stream, freeze_count, initial_count, exempt }
    }

    fn is_frozen(&self) -> bool {
        self.freeze_count.load(Ordering::Relaxed) != self.initial_count
            && !self.exempt.load(Ordering::Relaxed)
    }
}

impl AsyncRead for FreezableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // A stream never leaves the frozen state, so no waker has to be registered.
        if self.is_frozen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for FreezableStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        if self.is_frozen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_frozen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_frozen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.is_frozen() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
