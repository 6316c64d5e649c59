//! Gateway that routes callers' requests to plain services and model engines, with one process per instance.
//!
//! # Tour
//!
//! [`Gateway::bind`] starts all tasks. `callers` accepts connections, and `request_intake` turns each request into a
//! `ProxiedRequest`, which chooses an endpoint (`placement`), takes a token if the endpoint limits its rate
//! (`permits`), waits for a trial if its prompt is suspected of crashing endpoints (`suspicion`), sends the
//! request over a pooled [`Connection`], and returns the response whole or, for a stream, as its events
//! arrive. `quota` takes the units of a request from the quota of its tenant. `shared_streams` tells the other instances which
//! software version began a stream, and `take_up` binds a stream that a caller takes up again to it. `buffer` limits the memory of all requests and responses
//! together, and `caller_connections` the connections; `caller_stream` lets a caller pause while it reads. `convictions`
//! keeps in the store which requests crash endpoints, and `served_versions` which software versions have served lately.
//! `config` keeps the routes up to date, `list` the endpoints, and `election` the lease of the region's leader.
//! `coordinator` runs on the leader: it sends orders to engines (`coordinator::engine_calls`), issues tokens and sends
//! updates to the other instances (`coordinator::followers`), which connect to it through `peers` and know by `leader_link`
//! whether they are connected. The decisions are made by [`carobwick_core::gateway`], without I/O.
//!
//! Two traits hide the platform: [`WireFormat`] encodes and decodes requests, responses and orders, and
//! [`Store`] gives access to the persistent data. All tasks of a process run on one thread.

mod backoff;
mod buffer;
mod caller_body;
mod caller_connections;
mod caller_stream;
mod callers;
mod config;
mod connection;
mod convictions;
mod coordinator;
mod election;
mod endpoint_request;
mod error;
mod events;
mod gateway;
mod head_inspector;
mod leader_link;
mod list;
mod listener;
mod log_throttle;
mod message;
mod meters;
mod peers;
mod pending_replies;
mod permits;
mod placement;
mod platform;
mod pool;
mod proxied_request;
mod quota;
mod request_intake;
mod response;
mod served_versions;
mod settings;
mod shared_streams;
mod state;
mod status_pages;
mod stream;
mod suspicion;
mod take_up;

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
pub use platform::Snapshot;
pub use platform::Store;
pub use platform::WireFormat;
pub use settings::Settings;
pub use settings::Terms;
