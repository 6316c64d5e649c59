//! Compares the dispatch policy of carobwick with its baselines in a discrete-event simulation.
//!
//! # Tour
//!
//! A [`Deployment`] has the size of a current one, and a [`Shape`] generates the requests and faults. A
//! [`Simulation`] runs both in virtual time with the decision code of the entries; each endpoint is an
//! [`Engine`], a queueing model. A [`Score`] holds the results of a run.

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
