//! The gateway: one process per instance that serves routes in front of plain services and model engines.
//!
//! # Tour
//!
//! [`Gateway::bind`] starts everything. Callers' connections are read in `callers`; each request becomes a `Flight`,
//! which is placed at an endpoint, sent over a pooled [`Connection`], and answered whole or, for streams, as events arrive.
//! `config` keeps the routes and `list` the endpoints, `elect` the lease of the region's leader, and `coordinator` is the
//! leader's work: it gives orders to engines and tells the other instances over `peers`. The decisions are those of
//! [`carobwick_core::gateway`].
//!
//! What the platform speaks is behind two traits: [`WireFormat`] for requests, answers and orders, and [`Store`] for what
//! lasts. All tasks of a process run on one thread.

mod backoff;
mod callers;
mod config;
mod connection;
mod coordinator;
mod election;
mod endpoint_request;
mod error;
mod events;
mod gateway;
mod head_inspector;
mod list;
mod message;
mod meters;
mod peers;
mod platform;
mod pool;
mod proxied_request;
mod response;
mod settings;
mod state;
mod status_pages;
mod stream;

pub use connection::Connection;
pub use connection::SendError;
pub use election::Election;
pub use error::Category;
pub use error::Error;
pub use error::Result;
pub use events::EventFramer;
pub use events::FramedEvents;
pub use gateway::Gateway;
pub use head_inspector::HeadCheck;
pub use head_inspector::HeadInspector;
pub use message::read_frame;
pub use message::write_frame;
pub use platform::ClaimOutcome;
pub use platform::EngineReport;
pub use platform::ForwardedRequest;
pub use platform::LeaderEntry;
pub use platform::ResponseHead;
pub use platform::ResponseKind;
pub use platform::Revision;
pub use platform::Snapshot;
pub use platform::Store;
pub use platform::WireFormat;
pub use settings::Settings;
pub use settings::Terms;
