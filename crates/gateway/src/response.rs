use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

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

/// Headers that concern one connection only.
static HOP_BY_HOP: [HeaderName; 3] = [CONNECTION, TRANSFER_ENCODING, UPGRADE];
static HOP_BY_HOP_NAMES: [&str; 5] =
    ["keep-alive", "proxy-connection", "te", "trailer", "proxy-authenticate"];

/// Body of an answer to a caller.
pub(crate) enum ResponseBody {
    /// A whole body.
    Whole(Option<Bytes>),
    /// A body that is passed on as it arrives; an error breaks off the caller's connection.
    Streamed(LocalBoxStream<'static, Result<Bytes, BodyError>>),
}

/// The answer of an endpoint broke off, so the caller's connection is closed without an end of the body.
#[derive(Debug, Clone)]
pub(crate) struct BodyError(pub String);

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for BodyError {}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed(stream) => {
                stream.as_mut().poll_next(cx).map(|next| next.map(|item| item.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_none(),
            Self::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}

/// An answer of the instance itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    pub status: StatusCode,
    pub message: &'static str,
    /// Time after which the caller may come back.
    pub retry_after: Option<Duration>,
    /// Whether the connection can't be used any more.
    pub closes: bool,
}

impl LocalResponse {
    pub fn new(status: StatusCode, message: &'static str) -> Self {
        Self { status, message, retry_after: None, closes: false }
    }

    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    pub fn close_connection(self) -> Self {
        Self { closes: true, ..self }
    }

    pub fn into_response(self) -> Response<ResponseBody> {
        let body = Bytes::from(format!("{{\"error\":\"{}\"}}", self.message));
        let mut response = Response::new(ResponseBody::Whole(Some(body)));
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

/// Removes the headers that concern one connection only.
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
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}
