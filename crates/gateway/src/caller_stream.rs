use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use carobwick_core::Time;
use carobwick_runtime::now;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::connection::UNACKNOWLEDGED_TIMEOUT;

/// Time until which the caller of a connection may pause while it reads.
///
/// It is the deadline of its requests: until then the caller is owed the response.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadDeadline(Rc<Cell<Time>>);

/// Connection of a caller that may pause until its deadline while it reads a response.
///
/// The kernel's time limit for unacknowledged data also ends a connection whose peer acknowledges each probe of its closed
/// window. It can't be short for a caller that is owed a response, as nothing bounds a pause but the caller's own deadline.
/// Before the first byte of a response it stays short, so that the request of a caller that is gone is cancelled soon.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    deadline: ReadDeadline,
    /// Deadline that the time limit in force allows for.
    applied: Time,
}

impl ReadDeadline {
    /// Allows the caller to pause until `deadline`, and for as long as an earlier request allowed.
    pub fn extend(&self, deadline: Time) {
        self.0.set(self.0.get().max(deadline));
    }
}

impl CallerStream {
    pub fn new(stream: TcpStream, deadline: ReadDeadline) -> Self {
        Self { stream, deadline, applied: Time::default() }
    }

    /// Sets the time limit of the kernel for the deadline, before bytes of a response are written.
    fn apply_deadline(&mut self) -> io::Result<()> {
        let deadline = self.deadline.0.get();
        if deadline == self.applied {
            return Ok(());
        }
        self.applied = deadline;
        let timeout = (deadline - now()).max(UNACKNOWLEDGED_TIMEOUT);
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(timeout))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.apply_deadline()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_deadline()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
