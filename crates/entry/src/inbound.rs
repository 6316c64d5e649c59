use std::borrow::Cow;
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use carobwick_core::Artifact;
use carobwick_core::CallerId;
use carobwick_core::Fingerprint;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::Priority;
use carobwick_core::RequestId;
use carobwick_core::ResponseFormat;
use carobwick_core::RouteTarget;
use carobwick_core::ServiceId;
use carobwick_core::ServiceKind;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_core::prefix_hash;
use http::HeaderMap;
use http::Method;
use http::header::CONTENT_LENGTH;
use http_body_util::BodyExt;
use http_body_util::Limited;
use serde::Deserialize;
use serde::de::IgnoredAny;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::header_names::CALLER;
use crate::header_names::FORWARDED;
use crate::header_names::IDEMPOTENCY_KEY;
use crate::header_names::REPEATABLE;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// Bytes at the start of the prompt that [`prefix_hash`] reads.
const PREFIX_BYTES: usize = 4 << 10;
/// Typical length of a token in bytes of text.
const BYTES_PER_TOKEN: u64 = 4;
const DEFAULT_MAX_TOKENS: u64 = 256;

/// A caller's request, parsed and validated.
#[derive(Debug, Clone)]
pub(crate) struct InboundRequest {
    pub request: RequestId,
    pub target: RouteTarget,
    pub priority: Priority,
    pub caller: CallerId,
    pub format: ResponseFormat,
    /// Whether the request may run more than once; never true if it has a key.
    pub repeatable: bool,
    pub key: Option<String>,
    /// Whether an entry of another zone sent the request; it is then not forwarded again.
    pub forwarded: bool,
    pub deadline: Time,
    pub fingerprint: Fingerprint,
    pub prefix_hash: u64,
    pub prompt_tokens: Tokens,
    pub max_tokens: Tokens,
    /// Target latency of the first event, or of the complete response of a plain service.
    pub target_latency: Duration,
    /// Target time for each further token of a chat response that is not streamed.
    pub token_gap: Duration,
    pub method: Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

#[derive(Deserialize)]
struct ChatBody<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(borrow)]
    messages: Vec<Message<'a>>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow, default)]
    content: Option<Content<'a>>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content<'a> {
    Text(#[serde(borrow)] Cow<'a, str>),
    Other(IgnoredAny),
}

impl InboundRequest {
    /// Parses a chat request and validates it against the manifest.
    pub fn chat(
        request: RequestId,
        manifest: &Manifest,
        headers: HeaderMap,
        body: &Bytes,
        deadline: Time,
    ) -> Result<Self, Refusal> {
        let chat: ChatBody<'_> = serde_json::from_slice(body).map_err(|err| {
            let code = if err.is_data() { Code::BadRequest } else { Code::BadJson };
            Refusal::new(code, err.to_string())
        })?;
        let unknown = || Refusal::new(Code::UnknownModel, format!("model `{}` is not declared", chat.model));
        let model: ModelId = chat.model.parse().map_err(|_invalid| unknown())?;
        let (base, priority) = match manifest.find(&model).ok_or_else(unknown)? {
            Artifact::Model(spec) => (spec, spec.priority),
            Artifact::Adapter(adapter, base) => (base, adapter.priority),
        };
        let (prefix_hash, prompt_bytes) = prompt_prefix(&model, &chat.messages);
        let max_tokens = chat.max_tokens.or(chat.max_completion_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
        let format = if chat.stream == Some(true) { ResponseFormat::Stream } else { ResponseFormat::Chat };
        let fingerprint = Fingerprint(xxh3_64_with_seed(body, prefix_hash));
        let (caller, key) = (parse_caller(&headers)?, parse_key(&headers)?);
        Ok(Self {
            request,
            caller,
            format,
            repeatable: parse_repeatable(&headers)? && key.is_none(),
            key,
            forwarded: headers.contains_key(FORWARDED),
            deadline,
            fingerprint,
            prefix_hash,
            prompt_tokens: Tokens(prompt_bytes / BYTES_PER_TOKEN),
            max_tokens: Tokens(max_tokens),
            target_latency: base.first_token.duration(),
            priority,
            token_gap: base.token_gap.duration(),
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            headers,
            target: RouteTarget::Model(model),
            body: body.clone(),
        })
    }

    /// Builds a request for a path of a plain service and validates it against the manifest.
    pub fn service(
        request: RequestId,
        manifest: &Manifest,
        service: &str,
        target: (Method, String),
        headers: HeaderMap,
        body: Bytes,
        deadline: Time,
    ) -> Result<Self, Refusal> {
        let unknown = || Refusal::new(Code::UnknownService, format!("service `{service}` is not declared"));
        let id: ServiceId = service.parse().map_err(|_invalid| unknown())?;
        let spec = manifest.services.get(&id).filter(|spec| spec.kind == ServiceKind::Plain);
        let spec = spec.ok_or_else(unknown)?;
        let (method, path) = target;
        let route = spec.routes.iter().filter(|route| path.starts_with(&route.prefix));
        let route = route.max_by_key(|route| route.prefix.len());
        let repeatable = route.is_none_or(|route| route.repeatable)
            && parse_repeatable(&headers)?
            && !headers.contains_key(IDEMPOTENCY_KEY);
        let fingerprint = Fingerprint(xxh3_64_with_seed(&body, xxh3_64_with_seed(path.as_bytes(), 0)));
        let (caller, key) = (parse_caller(&headers)?, parse_key(&headers)?);
        Ok(Self {
            request,
            caller,
            format: ResponseFormat::Plain,
            repeatable,
            key,
            forwarded: headers.contains_key(FORWARDED),
            deadline,
            fingerprint,
            prefix_hash: fingerprint.0,
            prompt_tokens: Tokens(0),
            max_tokens: Tokens(0),
            target_latency: spec.target.duration(),
            priority: Priority::default(),
            token_gap: Duration::ZERO,
            method,
            path,
            headers,
            target: RouteTarget::Service(id),
            body,
        })
    }
}

/// Reads the body of a request; fails if it exceeds `max_bytes` or does not arrive within `timeout`.
pub(crate) async fn read_body(
    headers: &HeaderMap,
    body: Body,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Refusal> {
    let too_large = || Refusal::new(Code::BodyTooLarge, format!("the body is longer than {max_bytes} bytes"));
    let length = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    if length.is_some_and(|length| length > max_bytes as u64) {
        return Err(too_large());
    }
    match tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(err)) => Err(Refusal::new(Code::BadRequest, format!("the body broke off: {err}"))),
        Err(_) => Err(Refusal::new(Code::BodyTimeout, format!("the body did not arrive in {timeout:?}"))),
    }
}

/// Returns the hash of the prompt prefix that the prefix cache depends on, and the prompt length in bytes.
fn prompt_prefix(model: &ModelId, messages: &[Message<'_>]) -> (u64, u64) {
    let texts = || {
        messages.iter().filter_map(|message| match &message.content {
            Some(Content::Text(text)) => Some(text.as_ref()),
            _ => None,
        })
    };
    let prompt_bytes = texts().map(|text| text.len() as u64).sum();
    // A single message is hashed without a copy.
    if let [Message { content: Some(Content::Text(text)) }] = messages {
        return (prefix_hash(model, text.as_bytes()), prompt_bytes);
    }
    let mut start = Vec::with_capacity(PREFIX_BYTES);
    for text in texts() {
        let part = text.len().min(PREFIX_BYTES - start.len());
        start.extend_from_slice(&text.as_bytes()[..part]);
    }
    (prefix_hash(model, &start), prompt_bytes)
}

fn parse_caller(headers: &HeaderMap) -> Result<CallerId, Refusal> {
    let text = match headers.get(CALLER) {
        Some(value) => value.to_str().map_err(|err| bad_header("carobwick-caller", &err.to_string()))?,
        None => "anonymous",
    };
    text.parse().map_err(|err| bad_header("carobwick-caller", &format!("{err}")))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|err| bad_header("idempotency-key", &err.to_string()))?;
    if text.is_empty() || text.len() > 256 {
        return Err(bad_header("idempotency-key", "length is not in 1..=256"));
    }
    Ok(Some(text.to_owned()))
}

fn parse_repeatable(headers: &HeaderMap) -> Result<bool, Refusal> {
    match headers.get(REPEATABLE).map(http::HeaderValue::as_bytes) {
        None | Some(b"yes") => Ok(true),
        Some(b"no") => Ok(false),
        Some(_) => Err(bad_header("carobwick-repeatable", "neither `yes` nor `no`")),
    }
}

fn bad_header(name: &str, reason: &str) -> Refusal {
    Refusal::new(Code::BadHeader, format!("{name}: {reason}"))
}
