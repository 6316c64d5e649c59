use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use tokio_util::task::AbortOnDropHandle;

use crate::caller_connections::ActiveRequest;
use crate::response::BodyError;
use crate::response::HeldBytes;
use crate::response::ResponseBody;

/// Body of a response to a caller, whose connection is in use until it has been sent.
pub(crate) struct CallerBody {
    body: ResponseBody,
    _request: ActiveRequest,
    /// Closes the connection of a caller that does not read its stream until its deadline.
    _closing: Option<AbortOnDropHandle<()>>,
}

impl CallerBody {
    pub fn new(body: ResponseBody, request: ActiveRequest, closing: Option<AbortOnDropHandle<()>>) -> Self {
        Self { body, _request: request, _closing: closing }
    }
}

impl Body for CallerBody {
    type Data = HeldBytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
