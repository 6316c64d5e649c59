//! Stand-ins for the platform, the endpoints and the callers of carobwick, for tests and load runs.
//!
//! # Tour
//!
//! [`KvStandin`], [`InstancesStandin`] and [`WeightsStandin`] stand in for the platform, [`EngineStandin`] and
//! [`ServiceStandin`] for the endpoints. Each is started with `spawn`, in process or by a binary of the same name,
//! and runs until it is dropped. Each has switches for its faults, see [`Faults`]. [`run_load`] acts as callers.

mod completion;
mod engine;
mod faults;
mod freezable_stream;
mod instances;
mod kv;
mod load;
mod program;
mod server;
mod service;
mod weights;

pub use completion::ChatMessage;
pub use completion::ChatRequest;
pub use completion::completion_text;
pub use completion::completion_token;
pub use engine::CacheEvent;
pub use engine::EngineFaults;
pub use engine::EngineOptions;
pub use engine::EngineStandin;
pub use engine::EngineStats;
pub use engine::EngineTiming;
pub use engine::OnCrash;
pub use faults::Faults;
pub use instances::InstanceChange;
pub use instances::InstanceFaults;
pub use instances::InstancesStandin;
pub use kv::KvFaults;
pub use kv::KvStandin;
pub use load::ArrivalMode;
pub use load::LoadOptions;
pub use load::LoadSummary;
pub use load::Outcome;
pub use load::Quantiles;
pub use load::RequestKind;
pub use load::run_load;
pub use program::parse_faults;
pub use program::run_until_interrupted;
pub use server::Server;
pub use server::ServerControl;
pub use service::ServiceFaults;
pub use service::ServiceOptions;
pub use service::ServiceStandin;
pub use service::body_hash;
pub use weights::LoadCount;
pub use weights::LoadRequest;
pub use weights::WeightsFaults;
pub use weights::WeightsOptions;
pub use weights::WeightsStandin;
pub use weights::WeightsStats;
