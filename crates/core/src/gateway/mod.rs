//! Decisions of an instance that serves routes in front of plain services and model engines.
//!
//! A [`RouteTable`] says which service answers a request, a [`Roster`] which endpoints exist, a [`Balancer`] which of
//! them runs it, [`next_step`] what follows a failed send, and a [`RetryBudget`] how many sends may be repeated. The
//! leader of the region gives orders to engines as a [`ModelPlacer`], [`plan_adapter`] and its [`EngineRegistry`] say. A
//! [`ListCursor`] says when an instance reads the list of endpoints itself, and [`ConfigFreshness`] how long it may go by the
//! configuration that it has.

mod adapters;
mod balance;
mod call;
mod candidacy;
mod copies;
mod demand;
mod freshness;
mod list;
mod loads;
mod orders;
mod pace;
mod placer;
mod reach;
mod registry;
mod rejection;
mod retry;
mod roster;
mod suspects;
mod table;

pub use crate::budget::RetryBudget;
pub use crate::budget::RetryTerms;
pub use crate::budget::retry_budget_instances;
pub use adapters::plan_adapter;
pub use balance::Balancer;
pub use balance::Choice;
pub use balance::Ticket;
pub use balance::Verdict;
pub use call::Call;
pub use call::PromptPart;
pub use call::Weights;
pub use candidacy::Candidacy;
pub use candidacy::InstanceSize;
pub use copies::wanted_copies;
pub use demand::DemandSample;
pub use demand::DemandTable;
pub use demand::ModelDemand;
pub use freshness::ConfigFreshness;
pub use freshness::WatchTerms;
pub use list::ListCursor;
pub use list::ListSource;
pub use list::ListSpan;
pub use loads::LoadBoard;
pub use loads::SharedLoad;
pub use loads::locate;
pub use orders::AdapterWant;
pub use orders::EngineAction;
pub use orders::EngineOrder;
pub use pace::LoadPace;
pub use placer::ModelPlacer;
pub use registry::EngineRecord;
pub use registry::EngineRegistry;
pub use registry::EngineState;
pub use registry::OrderReply;
pub use rejection::EndpointNotice;
pub use rejection::PauseStep;
pub use rejection::pause_step;
pub use retry::Failure;
pub use retry::Progress;
pub use retry::Step;
pub use retry::next_step;
pub use roster::EndpointEntry;
pub use roster::Holding;
pub use roster::Listed;
pub use roster::Roster;
pub use suspects::SuspectTable;
pub use table::CallerLimits;
pub use table::EngineSpec;
pub use table::ModelSize;
pub use table::RouteKind;
pub use table::RouteTable;
pub use table::ServiceEntry;
pub use table::ServiceRoute;
pub use table::ServiceShare;
