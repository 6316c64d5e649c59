use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::header::TRANSFER_ENCODING;
use http::header::UPGRADE;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;

use crate::buffer::BufferShare;

/// Headers that apply to one connection and must not be forwarded.
static HOP_BY_HOP: [HeaderName; 3] = [CONNECTION, TRANSFER_ENCODING, UPGRADE];
/// Other headers that apply to one connection, by name.
static OTHER_HOP_BY_HOP: [&str; 5] =
    ["keep-alive", "proxy-connection", "te", "trailer", "proxy-authenticate"];

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// A buffered body, taken when it is sent.
    Buffered(Option<HeldBytes>),
    /// A body that is forwarded as it arrives; an error aborts the caller's connection.
    Streamed(LocalBoxStream<'static, Result<Bytes, BodyError>>),
}

/// Bytes for a caller, which use memory until the connection has written them.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    pub bytes: Bytes,
    pub share: Option<BufferShare>,
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, cnt: usize) {
        self.bytes.advance(cnt);
        if let Some(share) = &self.share {
            share.record_moved(cnt);
        }
    }
}

impl From<Bytes> for HeldBytes {
    fn from(bytes: Bytes) -> Self {
        Self { bytes, share: None }
    }
}

/// Error of a streamed body, on which the caller's connection is closed before the body is complete.
#[derive(Debug, Clone)]
pub(crate) struct BodyError(pub String);

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BodyError {}

impl Body for ResponseBody {
    type Data = HeldBytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(stream) => stream
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|item| item.map(|bytes| Frame::data(bytes.into())))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_none(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Buf::remaining) as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Response that the gateway itself generates, without an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    pub status: StatusCode,
    /// Value of `error` in the JSON body; written without escaping.
    pub message: &'static str,
    /// Time after which the caller may retry, as `Retry-After`.
    pub retry_after: Option<Duration>,
    /// Whether the caller's connection is closed after the response.
    pub closes: bool,
}

impl LocalResponse {
    /// Refusal of a stopping instance; another one can serve the request at once.
    pub const STOPPING: Self = Self {
        status: StatusCode::SERVICE_UNAVAILABLE,
        message: "the instance is stopping",
        retry_after: Some(Duration::ZERO),
        closes: true,
    };

    /// Rejection of a request without a known key on a route that needs one.
    pub const UNAUTHORIZED: Self = Self {
        status: StatusCode::UNAUTHORIZED,
        message: "the route needs a known key",
        retry_after: None,
        closes: false,
    };

    /// Rejection of a request whose body exceeds the limit.
    pub const TOO_LONG: Self =
        Self::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long").close_connection();

    /// Rejection of a request whose body made no progress for the idle timeout.
    pub const STALLED: Self =
        Self::new(StatusCode::REQUEST_TIMEOUT, "the body made no progress").close_connection();

    /// Rejection of a request whose body can't be read to its end.
    pub const BROKEN_OFF: Self = Self::new(StatusCode::BAD_REQUEST, "the body broke off").close_connection();

    pub const fn new(status: StatusCode, message: &'static str) -> Self {
        Self { status, message, retry_after: None, closes: false }
    }

    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    pub const fn close_connection(self) -> Self {
        Self { closes: true, ..self }
    }

    pub fn into_response(self) -> Response<ResponseBody> {
        let body = Bytes::from(format!("{{\"error\":\"{}\"}}", self.message));
        let mut response = Response::new(ResponseBody::Buffered(Some(body.into())));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after) = self.retry_after {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            headers.insert(RETRY_AFTER, HeaderValue::from_str(&seconds).expect("digits are a valid header"));
        }
        if self.closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Removes the headers that apply to one connection, including those listed in `Connection`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    for name in OTHER_HOP_BY_HOP {
        headers.remove(name);
    }
}
