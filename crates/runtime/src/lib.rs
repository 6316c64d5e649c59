//! What carobwick's processes share: clients of the platform and of engines, the peer protocol, supervision,
//! logs, metrics and the timeline.
//!
//! # Tour
//!
//! A process starts its logs with [`start_logs`], opens a [`Node`] with the state that it shares with its
//! peers, and runs its tasks under a [`Supervisor`]. [`KeyValueClient`] and [`InstanceListClient`] are
//! clients of the platform, [`EngineClient`] sends orders to model engines, and [`PeerClient`] and
//! [`PeerServer`] speak the peer protocol. [`serve_until`] shuts down a connection once its requests in
//! flight are finished.

mod clock;
mod engine;
mod error;
mod http;
mod instances;
mod kv;
mod kv_wire;
mod logs;
mod metrics;
mod node;
mod peer;
mod serve;
mod supervisor;
mod timeline;

pub use clock::now;
pub use clock::wall_ms;
pub use clock::wall_us;
pub use engine::EngineClient;
pub use error::Error;
pub use error::Result;
pub use http::HttpClient;
pub use instances::InstanceKind;
pub use instances::InstanceListClient;
pub use instances::InstanceStatus;
pub use instances::ListedInstance;
pub use kv::KeyValueClient;
pub use kv::KvEntry;
pub use kv::LeaseId;
pub use kv::Precondition;
pub use kv::Watch;
pub use kv::WriteOutcome;
pub use logs::LogGuard;
pub use logs::LogOutput;
pub use logs::start_logs;
pub use metrics::Metrics;
pub use node::MergeOutcome;
pub use node::Node;
pub use peer::PeerClient;
pub use peer::PeerServer;
pub use serve::serve_until;
pub use supervisor::Supervisor;
pub use timeline::Timeline;
