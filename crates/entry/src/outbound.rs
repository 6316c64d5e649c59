use bytes::Bytes;
use carobwick_core::AttemptId;
use carobwick_core::RouteTarget;
use carobwick_core::ZoneId;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;

use crate::dispatch::AttemptTarget;
use crate::header_names::ATTEMPT_ID;
use crate::header_names::CALLER;
use crate::header_names::FORWARDED;
use crate::header_names::IDEMPOTENCY_KEY;
use crate::header_names::PRIORITY;
use crate::header_names::REPEATABLE;
use crate::header_names::RESUME;
use crate::inbound::InboundRequest;

/// Hop-by-hop headers, and headers that the entry sets itself.
const UNFORWARDED_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Builds the request of one attempt.
pub(crate) fn build_request(
    inbound: &InboundRequest,
    target: &AttemptTarget,
    zone: &ZoneId,
    attempt: AttemptId,
    resume: Option<(AttemptId, u64)>,
) -> Request<Full<Bytes>> {
    let mut headers = end_to_end_headers(&inbound.headers);
    headers.remove(FORWARDED);
    headers.remove(RESUME);
    headers.insert(ATTEMPT_ID, header_value(&attempt.to_string()));
    headers.insert(CALLER, header_value(inbound.caller.as_str()));
    if let Some((of, received)) = resume {
        headers.insert(RESUME, header_value(&format!("{of},{received}")));
    }
    if let (AttemptTarget::Endpoint { .. }, RouteTarget::Model(_)) = (target, &inbound.target) {
        headers.insert(PRIORITY, HeaderValue::from(u16::from(inbound.priority.0)));
    }
    if let AttemptTarget::Zone { .. } = target {
        headers.insert(FORWARDED, header_value(zone.as_str()));
        // This entry holds the idempotency record; the other zone only needs to know that the request must not be
        // repeated.
        headers.remove(IDEMPOTENCY_KEY);
        if !inbound.repeatable {
            headers.insert(REPEATABLE, HeaderValue::from_static("no"));
        }
    }
    let mut request = Request::new(Full::new(inbound.body.clone()));
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = uri(target, inbound);
    *request.headers_mut() = headers;
    request
}

/// Copies the headers that are not specific to one connection.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut copy = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if !UNFORWARDED_HEADERS.contains(name) {
            copy.append(name, value.clone());
        }
    }
    copy
}

fn uri(target: &AttemptTarget, inbound: &InboundRequest) -> Uri {
    let path = match (target, &inbound.target) {
        (AttemptTarget::Zone { .. }, RouteTarget::Service(service)) => {
            format!("/services/{service}{}", inbound.path)
        }
        _ => inbound.path.clone(),
    };
    let uri = format!("http://{}{path}", target.addr());
    // The path came from a valid URI and the address from a zone view; an invalid address fails to connect.
    Uri::try_from(uri).unwrap_or_default()
}

fn header_value(value: &str) -> HeaderValue {
    HeaderValue::from_str(value).unwrap_or_else(|_| HeaderValue::from_static(""))
}
