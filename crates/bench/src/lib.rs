//! Measures the request policy of carobwick under a small queueing model of an endpoint.
//!
//! # Tour
//!
//! A [`Deployment`] has the size of one of the current ones, a [`Shape`] draws the requests and faults, [`World`]
//! runs both with the decision code of the entries, and a [`Score`] holds what came out. The times are virtual.

mod deployment;
mod engine;
mod placement;
mod plot;
mod prefix_cache;
mod request;
mod score;
mod shape;
mod simulation;
mod table;

pub use deployment::Deployment;
pub use engine::Engine;
pub use engine::EngineOutput;
pub use engine::Hardware;
pub use engine::Job;
pub use placement::Moves;
pub use placement::PlacementRule;
pub use plot::plot;
pub use prefix_cache::PrefixCache;
pub use score::Score;
pub use score::Summary;
pub use shape::Arrival;
pub use shape::Shape;
pub use simulation::Simulation;
pub use table::TABLE_HEADER;
pub use table::table_row;
