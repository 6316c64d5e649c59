//! Entry process: accepts callers' requests, chooses an endpoint for each attempt and returns complete responses.
//!
//! # Tour
//!
//! [`Entry::bind`] starts an entry from its [`Settings`]. `inbound` parses and validates a request, `dispatch` chooses
//! its endpoint, and `proxied_request` sends it by performing the steps of the state machine
//! [`carobwick_core::Delivery`]. `upstream` holds the connections to endpoints, `caller_response` streams responses to
//! callers, `keyed` runs requests with an idempotency key, and `exchange` synchronizes the state that is shared with
//! the planners.

mod caller_response;
mod callers;
mod cleanup;
mod context;
mod crash_detector;
mod demand;
mod dispatch;
mod entry;
mod error;
mod events;
mod exchange;
mod header_names;
mod health;
mod idempotency;
mod inbound;
mod keyed;
mod meters;
mod operators;
mod outbound;
mod proxied_request;
mod refusal;
mod response;
mod server;
mod settings;
mod upstream;

pub use entry::Entry;
pub use error::Error;
pub use error::Result;
pub use settings::Limits;
pub use settings::Settings;
pub use settings::settings;
