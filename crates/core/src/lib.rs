//! Decisions of carobwick as state machines without I/O, clock or randomness.
//!
//! An event and the time go in; a value that says what to do next comes out. The processes and the seeded random
//! runs drive the same code.
//!
//! # Tour
//!
//! Start with [`Manifest`], what operators declare, and [`ZoneView`], what an availability zone holds. The
//! exchange between processes is [`SharedState`]. `docs/design.md` describes the rest of the system.

#[macro_use]
mod macros;

mod active;
mod admission;
mod ask;
mod breaker;
mod budget;
mod config;
mod dispatch;
mod drain;
mod engine;
mod error;
mod estimate;
mod event;
mod fair_share;
mod fleet;
mod ids;
mod load;
mod manifest;
mod policy;
mod prefill;
mod quarantine;
mod queue;
mod route;
mod routing;
mod sync;
mod time;
mod units;
mod verdict;
mod view;

pub use ask::Ask;
pub use ask::AttemptOutcome;
pub use ask::Decision;
pub use ask::RefusalCode;
pub use ask::RouteTarget;
pub use ask::RunStatus;
pub use config::ConfigRecord;
pub use dispatch::Dispatcher;
pub use drain::DrainMark;
pub use drain::DrainSet;
pub use drain::DrainTarget;
pub use engine::Action;
pub use engine::EngineState;
pub use engine::LoadReport;
pub use engine::Order;
pub use engine::OrderOutcome;
pub use engine::OrderResult;
pub use engine::Resident;
pub use engine::Role;
pub use error::Category;
pub use error::Error;
pub use error::Result;
pub use event::Event;
pub use event::EventKind;
pub use ids::AttemptId;
pub use ids::CallerId;
pub use ids::EndpointId;
pub use ids::Fence;
pub use ids::Fingerprint;
pub use ids::Incarnation;
pub use ids::InstanceId;
pub use ids::ModelId;
pub use ids::ModelVersion;
pub use ids::OrderId;
pub use ids::RequestId;
pub use ids::ServiceId;
pub use ids::Version;
pub use ids::WriteId;
pub use ids::ZoneId;
pub use manifest::AdapterSpec;
pub use manifest::Artifact;
pub use manifest::Manifest;
pub use manifest::ModelSpec;
pub use manifest::Objective;
pub use manifest::Route;
pub use manifest::ServiceKind;
pub use manifest::ServiceSpec;
pub use manifest::StoreLimits;
pub use policy::Policy;
pub use policy::RoutingRule;
pub use policy::prefix_hash;
pub use quarantine::CrashReport;
pub use quarantine::SuspectSet;
pub use sync::Change;
pub use sync::Delta;
pub use sync::DemandReport;
pub use sync::Digest;
pub use sync::ModelDemand;
pub use sync::PeerMessage;
pub use sync::SharedState;
pub use time::Time;
pub use units::Bytes;
pub use units::Millis;
pub use units::Priority;
pub use units::Rate;
pub use units::Tokens;
pub use view::EndpointState;
pub use view::EndpointView;
pub use view::InstanceView;
pub use view::ZoneView;
