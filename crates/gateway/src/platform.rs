use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::Era;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::InstanceId;
use carobwick_core::LeaderRecord;
use carobwick_core::Revision;
use carobwick_core::TenantId;
use carobwick_core::gateway::Access;
use carobwick_core::gateway::Conviction;
use carobwick_core::gateway::EndpointChange;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EndpointNotice;
use carobwick_core::gateway::EngineOrder;
use carobwick_core::gateway::EngineState;
use carobwick_core::gateway::OrderReply;
use carobwick_core::gateway::PacedLoad;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::RouteTable;
use carobwick_core::gateway::ServedVersion;
use carobwick_core::gateway::VersionRecord;
use carobwick_derive::data;
use futures_util::future::LocalBoxFuture;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use indexmap::IndexMap;

use crate::Result;

/// Encoding of requests, responses and orders on the wire.
pub trait WireFormat {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header is malformed or a required one is missing.
    fn parse_request(&self, headers: &HeaderMap) -> Result<RequestHead>;

    /// Returns the headers of the request to an endpoint, built from those of the caller's request.
    fn endpoint_headers(&self, headers: &HeaderMap, request: &ForwardedRequest<'_>) -> HeaderMap;

    /// Parses the head of an endpoint's response to a request.
    fn parse_response(&self, head: &RequestHead, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Parses what an endpoint announces about itself in any response.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> EndpointNotice;

    /// Builds the request that sends an order to an engine, on behalf of the leader `holder` with its fencing
    /// number.
    fn order_request(&self, order: &EngineOrder, holder: &InstanceId, fence: Fence) -> Request<Full<Bytes>>;

    /// Maps the head of an engine's response to the outcome of an order: [`OrderReply::Lost`] if it is the response to
    /// another request.
    fn parse_order_reply(&self, status: StatusCode, headers: &HeaderMap) -> OrderReply;

    /// Builds the request that queries an engine's state.
    fn report_request(&self, endpoint: &EndpointId) -> Request<Full<Bytes>>;

    /// Parses an engine's state.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport>;
}

/// Request to an endpoint, as far as its headers need it.
#[derive(Debug)]
pub struct ForwardedRequest<'a> {
    /// Head of the caller's request.
    pub head: &'a RequestHead,
    /// Endpoint that must process the request.
    pub endpoint: &'a EndpointId,
    /// Time until the request's deadline.
    pub remaining: Duration,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// For whom the request runs.
    pub access: &'a Access,
    /// Id of the last event that the caller has received of an interrupted stream.
    pub last_event: Option<&'a str>,
}

/// Relation of a response to the request on whose connection it arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseKind {
    /// The endpoint executed the request, and this is its response.
    Own,
    /// The endpoint declined the request and did not execute it.
    Declined,
    /// The endpoint did not execute the request, since it is not the expected endpoint or lacks the model.
    Misdirected,
    /// The response belongs to another request.
    #[default]
    Foreign,
}

/// Parsed head of an endpoint's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Relation of the response to the request.
    pub kind: ResponseKind,
    /// Whether the response carries the endpoint's signature.
    pub signed: bool,
    /// Load that the endpoint reports.
    pub load: Option<PacedLoad>,
    /// Idle timeout of the connection, as the endpoint announces it.
    pub idle_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection after the response.
    pub closes: bool,
}

/// State that an engine reports.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Incarnation of the engine, if it reports one.
    pub incarnation: Option<Incarnation>,
    /// State of the engine.
    pub state: EngineState,
}

/// Persistent data that all instances share.
pub trait Store {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond or the configuration is invalid.
    fn config(&self) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>>;

    /// Waits up to `wait` for a change of the configuration after a revision; returns no value if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond, with [`Category::Compacted`](crate::Category::Compacted) if the
    /// revision was compacted away, and with [`Category::Returned`](crate::Category::Returned) if it is of an
    /// earlier era.
    fn watch_config(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>>;

    /// Reads the list of endpoints.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Snapshot<Vec<EndpointEntry>>>>;

    /// Waits up to `wait` for changes of the list of endpoints after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond, with [`Category::Compacted`](crate::Category::Compacted) if the
    /// revision was compacted away, and with [`Category::Returned`](crate::Category::Returned) if it is of an
    /// earlier era.
    fn watch_endpoints(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Vec<EndpointChange>>>>;

    /// Reads the leader's entry and the revision of its write; returns none if there is no leader.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    fn leader(&self) -> LocalBoxFuture<'_, Result<Option<(LeaderEntry, Revision)>>>;

    /// Like [`Self::leader`], but never stale.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    fn latest_leader(&self) -> LocalBoxFuture<'_, Result<Option<(LeaderEntry, Revision)>>>;

    /// Returns the highest era that a response named, which is 0 if none did. It rises when the store returns from
    /// an older copy, in which leases and revisions are those of before.
    fn era(&self) -> Era;

    /// Creates the leader's entry, bound to a lease, if there is none; otherwise returns the existing one.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown or the lease has expired.
    fn claim_leadership(&self, lease: u64, entry: LeaderEntry) -> LocalBoxFuture<'_, Result<ClaimOutcome>>;

    /// Reads the convictions that were added and whose lifetime has not ended.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    fn convictions(&self) -> LocalBoxFuture<'_, Result<Vec<Conviction>>>;

    /// Adds a conviction for its lifetime, unless one of the same suspect is there.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown.
    fn add_conviction(&self, conviction: Conviction) -> LocalBoxFuture<'_, Result<()>>;

    /// Reads the fractions of tenants' requests that were admitted when they were written last; empty if none were.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    fn quota_fractions(&self) -> LocalBoxFuture<'_, Result<IndexMap<TenantId, f64>>>;

    /// Writes the fractions of tenants over their quota.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown, or if another instance has written at the same time.
    fn write_quota_fractions<'a>(
        &'a self,
        fractions: &'a IndexMap<TenantId, f64>,
    ) -> LocalBoxFuture<'a, Result<()>>;

    /// Reads the software versions that were written last, with the revision of the write; empty if none were. They may be
    /// some seconds old.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    fn served_versions(&self) -> LocalBoxFuture<'_, Result<Snapshot<VersionRecord>>>;

    /// Like [`Self::served_versions`], but never stale.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    fn latest_served_versions(&self) -> LocalBoxFuture<'_, Result<Snapshot<VersionRecord>>>;

    /// Writes the software versions that serve or have served lately in place of those of a revision; returns the revision
    /// of the write.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown, if another instance has written since that revision, or if the revision is of an
    /// earlier era.
    fn write_served_versions<'a>(
        &'a self,
        versions: &'a [ServedVersion],
        replaced: Revision,
    ) -> LocalBoxFuture<'a, Result<Revision>>;

    /// Creates a lease and returns its id.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown.
    fn grant(&self, ttl: Duration) -> LocalBoxFuture<'_, Result<u64>>;

    /// Renews a lease; returns whether it still exists.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown.
    fn renew(&self, lease: u64) -> LocalBoxFuture<'_, Result<bool>>;

    /// Revokes a lease.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown.
    fn revoke(&self, lease: u64) -> LocalBoxFuture<'_, Result<()>>;
}

/// Value with the revision of the store at which it was read.
#[derive(Debug, Clone)]
pub struct Snapshot<T> {
    /// The value.
    pub value: T,
    /// Revision after which a watch continues.
    pub revision: Revision,
}

/// Leader's entry in the store.
#[data]
pub struct LeaderEntry {
    /// Instance of the leader and id of the write.
    pub record: LeaderRecord,
    /// Address at which the leader accepts connections of other instances.
    pub peers: SocketAddr,
}

/// Outcome of an attempt to create the leader's entry.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOutcome {
    /// The entry was created at this revision.
    Won(Revision),
    /// Another entry exists; none is returned if the store did not include it.
    Taken(Option<(LeaderEntry, Revision)>),
}
