use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use carobwick_core::Time;
use carobwick_runtime::now;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::buffer::BufferShare;
use crate::caller_connections::ActiveRequest;
use crate::meters::CallerLoss;
use crate::response::BodyError;
use crate::response::HeldBytes;
use crate::response::ResponseBody;
use crate::state::State;

/// Time after the deadline of a stream within which it ends by itself if its caller reads it.
const STREAM_END_MARGIN: Duration = Duration::from_millis(200);

/// Body of a response to a caller, whose connection is in use until it has been sent.
pub(crate) struct CallerBody {
    body: ResponseBody,
    _request: ActiveRequest,
    stream: Option<OpenStream>,
}

/// Stream on its way to its caller.
pub(crate) struct OpenStream {
    share: BufferShare,
    /// Whether the caller has not taken the last events yet.
    is_unread: bool,
    _closing: AbortOnDropHandle<()>,
}

impl CallerBody {
    pub fn new(body: ResponseBody, request: ActiveRequest, stream: Option<OpenStream>) -> Self {
        Self { body, _request: request, stream }
    }
}

impl OpenStream {
    /// Opens a stream with a deadline; `closing` closes the connection of its caller.
    ///
    /// While its caller does not read, nobody asks for the next event, at which a stream looks at its deadline. So it is closed
    /// here, or sooner if memory is short.
    pub fn open(state: &Rc<State>, deadline: Time, closing: &CancellationToken) -> Self {
        let share = state.buffers.open_stream(closing.clone());
        let closing = tokio::task::spawn_local(close_at(
            deadline + STREAM_END_MARGIN,
            Rc::clone(state),
            closing.clone(),
        ));
        Self { share, is_unread: false, _closing: AbortOnDropHandle::new(closing) }
    }

    /// Records whether events wait for the caller.
    fn set_unread(&mut self, is_unread: bool) {
        if self.is_unread != is_unread {
            self.is_unread = is_unread;
            if is_unread { self.share.set_unread() } else { self.share.set_read() }
        }
    }
}

async fn close_at(at: Time, state: Rc<State>, closing: CancellationToken) {
    tokio::time::sleep(at - now()).await;
    state.meters.record_caller_loss(CallerLoss::TimedOut);
    closing.cancel();
}

impl Body for CallerBody {
    type Data = HeldBytes;
    type Error = BodyError;

    /// The HTTP library asks for more events only while it has room for them, so while the caller reads.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, BodyError>>> {
        if let Some(stream) = &mut self.stream {
            stream.set_unread(false);
        }
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Some(stream) = &mut self.stream {
            stream.set_unread(matches!(polled, Poll::Ready(Some(Ok(_)))));
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
