//! Decisions of an instance that serves routes in front of plain services and model engines.
//!
//! A [`RouteTable`] says which service answers a request, a [`EndpointTable`] which endpoints exist, a [`Balancer`] which of
//! them runs it, [`next_step`] what follows a failed send, and a [`RetryShare`] how many sends may be repeated. The
//! leader of the region gives orders to engines as a [`ModelPlacer`], [`plan_adapter`] and its [`EngineRegistry`] say. A
//! [`ListCursor`] says when an instance reads the list of endpoints itself, and [`ConfigFreshness`] how long it may go by the
//! configuration that it has.

mod adapters;
mod balance;
mod candidacy;
mod copies;
mod demand;
mod endpoint_table;
mod freshness;
mod list;
mod load_limiter;
mod loads;
mod orders;
mod placer;
mod reachability;
mod registry;
mod rejection;
mod request_head;
mod retry;
mod suspects;
mod table;

pub use crate::budget::RetryShare;
pub use crate::budget::RetryTerms;
pub use crate::budget::sharing_instances;
pub use adapters::plan_adapter;
pub use balance::Balancer;
pub use balance::Choice;
pub use balance::SendId;
pub use balance::SendOutcome;
pub use candidacy::Candidacy;
pub use candidacy::InstanceSize;
pub use copies::wanted_copies;
pub use demand::DemandSample;
pub use demand::DemandTable;
pub use demand::ModelDemand;
pub use endpoint_table::EndpointChange;
pub use endpoint_table::EndpointEntry;
pub use endpoint_table::EndpointTable;
pub use endpoint_table::ResidentModels;
pub use freshness::ConfigFreshness;
pub use freshness::WatchTimeouts;
pub use list::ListCursor;
pub use list::ListRole;
pub use list::RevisionRange;
pub use load_limiter::LoadRateLimiter;
pub use loads::PendingLoads;
pub use loads::SharedLoad;
pub use loads::resolve_loads;
pub use orders::AdapterRequest;
pub use orders::EngineAction;
pub use orders::EngineOrder;
pub use placer::ModelPlacer;
pub use registry::EngineRecord;
pub use registry::EngineRegistry;
pub use registry::EngineState;
pub use registry::OrderReply;
pub use rejection::EndpointNotice;
pub use rejection::PauseStep;
pub use rejection::pause_step;
pub use request_head::PromptPart;
pub use request_head::RequestHead;
pub use request_head::Weights;
pub use retry::Progress;
pub use retry::RetryStep;
pub use retry::SendFailure;
pub use retry::next_step;
pub use suspects::SuspectTable;
pub use table::CallerLimits;
pub use table::EngineSpec;
pub use table::ModelSize;
pub use table::RouteKind;
pub use table::RouteTable;
pub use table::ServiceEntry;
pub use table::ServiceRoute;
pub use table::ServiceShare;
