//! Entry process: takes callers' requests, chooses an endpoint for each attempt and delivers complete answers.
//!
//! # Tour
//!
//! [`Entry::bind`] starts an entry from its [`Settings`]. A request is read and checked by `inbound`, placed by
//! `dispatch`, and carried out by `flight`, which performs what the state machine [`carobwick_core::Delivery`] asks
//! for. `upstream` holds the connections to endpoints, `show` passes answers on to callers, and `exchange` keeps the
//! state that is shared with the planners up to date.

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
