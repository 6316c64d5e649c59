//! Decisions of an instance that routes requests to plain services and model engines.
//!
//! A [`RouteTable`] maps a request to a service, and its [`AccessTable`] a key to a tenant with its [`Quota`]. An
//! [`EndpointTable`] holds the known endpoints, and a [`Balancer`] chooses the one that runs the request, by predicted
//! time where the [`Pace`] of an endpoint's machine is known. [`next_step`] decides what follows a failed send,
//! and a [`RetryBudget`] bounds the number of retries. The leader of the region sends orders to engines,
//! which a [`ModelPlacer`] and [`plan_adapter`] derive from its [`EngineRegistry`]. A [`ListCursor`] decides
//! when an instance reads the list of endpoints from the store itself, and [`ConfigFreshness`] how long it
//! may trust its configuration. Endpoints that limit the rate of requests get them only for tokens that the
//! leader's [`TokenIssuer`] issues to all instances. A [`SuspectTable`] finds the requests and parts of prompts
//! that crash endpoints, with trials that a [`TrialTable`] keeps apart. A [`StreamTable`] keeps which software version
//! began each stream, since only endpoints of that version may go on with it. A [`QuotaMeter`] admits the requests of a
//! tenant within its quota, by the fraction that the leader's [`QuotaLedger`] derives from the usage at all instances.
//! [`engine_priority`] orders requests that wait at an engine. A [`MemoryBudget`] and a [`ConnectionLimit`] decide which
//! callers are shed when memory or descriptors run short.

mod adapters;
mod balance;
mod candidacy;
mod connection_limit;
mod copies;
mod demand;
mod departures;
mod endpoint_table;
mod engine_order;
mod freshness;
mod list;
mod load_limiter;
mod loads;
mod memory_budget;
mod notice;
mod orders;
mod pace;
mod placer;
mod quota_ledger;
mod quota_meter;
mod rate_limit;
mod reachability;
mod registry;
mod rejection;
mod request_head;
mod retry;
mod software_version;
mod stream_table;
mod suspects;
mod table;
mod tenants;
mod token_bucket;
mod token_issuer;
mod trials;
mod version_history;

pub use crate::budget::RetryBudget;
pub use crate::budget::RetryTerms;
pub use crate::budget::retry_budget_instances;
pub use adapters::plan_adapter;
pub use balance::Balancer;
pub use balance::Choice;
pub use balance::SendId;
pub use balance::SendOutcome;
pub use candidacy::Candidacy;
pub use candidacy::InstanceSize;
pub use connection_limit::Admission;
pub use connection_limit::ConnectionId;
pub use connection_limit::ConnectionLimit;
pub use copies::wanted_copies;
pub use demand::DemandSample;
pub use demand::DemandTable;
pub use demand::ModelDemand;
pub use endpoint_table::EndpointChange;
pub use endpoint_table::EndpointEntry;
pub use endpoint_table::EndpointTable;
pub use endpoint_table::ResidentModels;
pub use engine_order::engine_priority;
pub use freshness::ConfigFreshness;
pub use freshness::WatchTimeouts;
pub use list::ListCursor;
pub use list::ListRole;
pub use list::RevisionRange;
pub use load_limiter::LoadRateLimiter;
pub use loads::PacedLoad;
pub use loads::PendingLoads;
pub use loads::SharedLoad;
pub use loads::SharedLoads;
pub use loads::resolve_loads;
pub use memory_budget::AccountId;
pub use memory_budget::MemoryBudget;
pub use memory_budget::MemoryUse;
pub use memory_budget::Resize;
pub use notice::AnnouncedLimit;
pub use notice::EndpointNotice;
pub use orders::AdapterRequest;
pub use orders::EngineAction;
pub use orders::EngineOrder;
pub use pace::Pace;
pub use pace::PaceEstimate;
pub use placer::ModelPlacer;
pub use quota_ledger::QuotaLedger;
pub use quota_meter::QuotaDecision;
pub use quota_meter::QuotaMeter;
pub use quota_meter::QuotaTerms;
pub use quota_meter::QuotaUpdate;
pub use quota_meter::TenantGrant;
pub use quota_meter::TenantUsage;
pub use quota_meter::UsageReport;
pub use rate_limit::LimitNews;
pub use registry::EngineRecord;
pub use registry::EngineRegistry;
pub use registry::EngineState;
pub use registry::OrderReply;
pub use rejection::PauseStep;
pub use rejection::pause_step;
pub use request_head::PartId;
pub use request_head::PromptPart;
pub use request_head::RequestHead;
pub use request_head::Weights;
pub use retry::Progress;
pub use retry::RetryStep;
pub use retry::SendFailure;
pub use retry::next_step;
pub use software_version::SoftwareVersion;
pub use software_version::VersionBinding;
pub use stream_table::StreamKey;
pub use stream_table::StreamOrigin;
pub use stream_table::StreamTable;
pub use suspects::Conviction;
pub use suspects::Loss;
pub use suspects::Suspect;
pub use suspects::SuspectTable;
pub use suspects::Verdict;
pub use table::CallerLimits;
pub use table::EngineSpec;
pub use table::ModelSize;
pub use table::RouteKind;
pub use table::RouteTable;
pub use table::ServiceEntry;
pub use table::ServiceRoute;
pub use table::ServiceShare;
pub use tenants::Access;
pub use tenants::AccessTable;
pub use tenants::ApiKey;
pub use tenants::Quota;
pub use tenants::QuotaUnit;
pub use tenants::Tenant;
pub use token_issuer::Ticket;
pub use token_issuer::TokenIssuer;
pub use token_issuer::TokenReplies;
pub use token_issuer::TokenReply;
pub use token_issuer::TokenRequest;
pub use trials::TrialTable;
pub use version_history::ServedVersion;
pub use version_history::VERSION_MEMORY;
pub use version_history::VersionCount;
pub use version_history::VersionRecord;
