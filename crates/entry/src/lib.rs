//! Entry process: takes callers' requests, chooses an endpoint for each attempt and delivers complete answers.
//!
//! # Tour
//!
//! [`Entry::bind`] starts an entry from its [`Settings`]. A request is read and checked by `inbound`, placed by
//! `dispatch`, and carried out by `flight`, which performs what the state machine [`carobwick_core::Delivery`] asks
//! for. `upstream` holds the connections to endpoints, `show` passes answers on to callers, and `exchange` keeps the
//! state that is shared with the planners up to date.

mod answer;
mod callers;
mod crash;
mod demand;
mod dispatch;
mod entry;
mod error;
mod events;
mod exchange;
mod flight;
mod health;
mod inbound;
mod keyed;
mod meters;
mod names;
mod operators;
mod outbound;
mod records;
mod refusal;
mod server;
mod serving;
mod settings;
mod show;
mod tidy;
mod upstream;

pub use entry::Entry;
pub use error::Error;
pub use error::Result;
pub use settings::Limits;
pub use settings::Settings;
pub use settings::settings;
