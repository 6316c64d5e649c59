//! Stand-ins for the platform, the endpoints and the callers of carobwick, used in tests and load tests.
//!
//! # Tour
//!
//! [`KvStandin`], [`InstancesStandin`] and [`WeightsStandin`] stand in for the platform, [`EngineStandin`]
//! and [`ServiceStandin`] for the endpoints. `spawn` starts each of them in process, and each has a binary
//! that runs it as a process of its own. A stand-in runs until it is dropped and injects faults on request,
//! see [`Faults`]. [`run_load`] sends requests as callers do and checks the responses.

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
