//! The planner process: placement of models in one availability zone, exchange of configuration between
//! processes and the operator API.
//!
//! # Tour
//!
//! [`Planner::start`] starts the process from its [`Settings`]; [`Context`] holds what its tasks share. The
//! exchange with peers, the watch of the key-value service, the operator API and the leader are tasks under
//! one supervisor. [`Leader`] carries out the commands of a `carobwick_core::Controller` by calls to the
//! key-value service, the instance list and the engines.

mod archive;
mod context;
mod exchange;
mod explain;
mod key_value;
mod leader;
mod leader_calls;
mod leader_metrics;
mod meters;
mod operator;
mod planner;
mod publishing;
mod settings;
mod status;

pub use context::Context;
pub use leader::Leader;
pub use leader::LeaderSetup;
pub use planner::Planner;
pub use settings::Settings;
