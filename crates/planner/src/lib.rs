//! The planner: it takes part in its zone's election and, while it leads, places models on the zone's engines.
//!
//! # Tour
//!
//! [`Leader`] runs the decisions of `carobwick_core::Controller` with real calls.

mod leader;
mod leader_calls;

pub use leader::Leader;
pub use leader::LeaderSetup;
