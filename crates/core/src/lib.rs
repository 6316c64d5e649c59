//! Decisions of carobwick as state machines without I/O, clock or randomness.
//!
//! An event and the time go in; a value that says what to do next comes out. The processes and the seeded random
//! runs drive the same code.
//!
//! # Tour
//!
//! Start with [`Manifest`], what operators declare, and [`ZoneView`], what an availability zone holds. The
//! exchange between processes is [`SharedState`]. A zone is led by a [`Controller`], which runs the election
//! ([`Lease`]), charges memory ([`Ledger`]), writes the plan ahead ([`PlanStore`]) and places models ([`place`]).
//! `docs/design.md` describes the rest of the system.

#[macro_use]
mod macros;

mod adapters;
mod config;
mod controller;
mod demand;
mod drain;
mod engine;
mod error;
mod event;
mod homes;
mod ids;
mod lease;
mod ledger;
mod manifest;
mod pacing;
mod placement;
mod plan;
mod quarantine;
mod room;
mod settle;
mod sync;
mod term;
mod term_decide;
mod term_view;
mod time;
mod units;
mod view;

pub use config::ConfigRecord;
pub use controller::Command;
pub use controller::Controller;
pub use controller::Fleet;
pub use controller::ListedEndpoint;
pub use controller::Tick;
pub use demand::Demand;
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
pub use homes::home_zone;
pub use homes::zone_order;
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
pub use lease::DRIFT_MARGIN;
pub use lease::LEASE_TTL;
pub use lease::LeaderRecord;
pub use lease::Lease;
pub use lease::LeaseEvent;
pub use lease::LeaseStep;
pub use lease::Standing;
pub use ledger::Account;
pub use ledger::Ledger;
pub use ledger::ORDER_GRACE;
pub use manifest::AdapterSpec;
pub use manifest::Artifact;
pub use manifest::Manifest;
pub use manifest::ModelSpec;
pub use manifest::Objective;
pub use manifest::Route;
pub use manifest::ServiceKind;
pub use manifest::ServiceSpec;
pub use manifest::StoreLimits;
pub use pacing::Pacing;
pub use pacing::adapter_loads;
pub use pacing::concurrent;
pub use placement::Availability;
pub use placement::EngineStanding;
pub use placement::Move;
pub use placement::Placement;
pub use placement::Scene;
pub use placement::place;
pub use plan::EndpointPlan;
pub use plan::PlanEvent;
pub use plan::PlanProgress;
pub use plan::PlanStep;
pub use plan::PlanStore;
pub use plan::PlannedOrder;
pub use plan::ZonePlan;
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
