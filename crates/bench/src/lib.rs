//! Measures the request policy of carobwick under a small queueing model of an endpoint.
//!
//! # Tour
//!
//! A [`Deployment`] has the size of one of the current ones, a [`Shape`] draws the requests and faults, [`World`]
//! runs both with the decision code of the entries, and a [`Score`] holds what came out. The times are virtual.

mod deployment;
mod engine;
mod flow;
mod placing;
mod plot;
mod prefix_cache;
mod score;
mod shape;
mod table;
mod world;

pub use deployment::Deployment;
pub use engine::Engine;
pub use engine::Hardware;
pub use engine::Job;
pub use engine::Output;
pub use placing::Moves;
pub use placing::PlacementRule;
pub use plot::plot;
pub use prefix_cache::PrefixCache;
pub use score::Score;
pub use score::Spread;
pub use shape::Arrival;
pub use shape::Shape;
pub use table::HEADER;
pub use table::row;
pub use world::World;
