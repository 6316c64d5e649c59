//! Names of the headers that the protocol between callers, entries and endpoints defines.

use http::HeaderName;

pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("carobwick-attempt");
pub(crate) const CALLER: HeaderName = HeaderName::from_static("carobwick-caller");
/// Zone of the entry that forwarded a request; such a request is not forwarded again.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("carobwick-forwarded");
pub(crate) const INCARNATION: HeaderName = HeaderName::from_static("carobwick-incarnation");
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
pub(crate) const LOAD: HeaderName = HeaderName::from_static("carobwick-load");
/// Priority of a request, for engines.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("carobwick-priority");
pub(crate) const REPEATABLE: HeaderName = HeaderName::from_static("carobwick-repeatable");
/// Request id, which callers can quote to operators.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("carobwick-request");
pub(crate) const RESUME: HeaderName = HeaderName::from_static("carobwick-resume");
/// `no` on a response says that the request did not run.
pub(crate) const RUN_STATUS: HeaderName = HeaderName::from_static("carobwick-run");
