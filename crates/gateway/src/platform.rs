use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::InstanceId;
use carobwick_core::LeaderRecord;
use carobwick_core::LoadReport;
use carobwick_core::gateway::Call;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EndpointNotice;
use carobwick_core::gateway::EngineOrder;
use carobwick_core::gateway::EngineState;
use carobwick_core::gateway::Listed;
use carobwick_core::gateway::OrderReply;
use carobwick_core::gateway::RouteTable;
use carobwick_derive::data;
use futures_util::future::LocalBoxFuture;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;

use crate::Result;

/// A revision of the store.
pub type Revision = u64;

/// How requests, answers and orders look on the wire.
pub trait WireFormat {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if a header can't be read or one that is needed is missing.
    fn parse_request(&self, headers: &HeaderMap) -> Result<Call>;

    /// Turns the headers of a caller's request into those for an endpoint.
    fn endpoint_headers(&self, headers: &HeaderMap, send: &ForwardedRequest<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer to a call.
    fn parse_response(&self, call: &Call, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Reads what an endpoint says of itself in any of its answers.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> EndpointNotice;

    /// Builds the request that carries an order to an engine.
    fn order_request(&self, order: &EngineOrder, holder: &InstanceId, fence: Fence) -> Request<Full<Bytes>>;

    /// Reads how an engine took an order.
    fn parse_order_reply(&self, status: StatusCode) -> OrderReply;

    /// Builds the request for an engine's state.
    fn report_request(&self, endpoint: &EndpointId) -> Request<Full<Bytes>>;

    /// Reads an engine's state.
    ///
    /// # Errors
    ///
    /// Fails if the body can't be read.
    fn parse_report(&self, body: &[u8]) -> Result<EngineReport>;
}

/// What goes with a request to an endpoint.
#[derive(Debug)]
pub struct ForwardedRequest<'a> {
    /// The request.
    pub call: &'a Call,
    /// The endpoint that must answer.
    pub endpoint: &'a EndpointId,
    /// Time that is left for the answer.
    pub remaining: Duration,
    /// Rank of the route, where 0 goes first.
    pub priority: u8,
    /// Last event that the caller has of an interrupted stream.
    pub last_event: Option<&'a str>,
}

/// What an answer is to the request on whose connection it arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseKind {
    /// The endpoint ran the request and this is its answer.
    Own,
    /// The endpoint did not run the request.
    Declined,
    /// The endpoint did not run the request: it is another one than expected, or lacks the model.
    Misdirected,
    /// It belongs to another request.
    #[default]
    Foreign,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// What the answer is to the request.
    pub kind: ResponseKind,
    /// Whether it bears the endpoint's signature.
    pub signed: bool,
    /// Load of the endpoint.
    pub load: Option<LoadReport>,
    /// Time for which the endpoint keeps the idle connection.
    pub idle_timeout: Option<Duration>,
    /// Whether the endpoint is about to close the connection.
    pub closes: bool,
}

/// State of an engine as it reports it.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineReport {
    /// Run of its process, if it says so.
    pub incarnation: Option<Incarnation>,
    /// Its state.
    pub state: EngineState,
}

/// What the store keeps for the whole system.
pub trait Store {
    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or the configuration is not valid.
    fn config(&self) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>>;

    /// Waits for a change of the configuration after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or its history does not reach back.
    fn watch_config(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>>;

    /// Reads the list of endpoints.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Snapshot<Vec<EndpointEntry>>>>;

    /// Waits for changes of the list of endpoints after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer or its history does not reach back.
    fn watch_endpoints(
        &self,
        after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Vec<Listed>>>>;

    /// Reads the leader's note and the revision of its write.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer.
    fn leader(&self) -> LocalBoxFuture<'_, Result<Option<(LeaderEntry, Revision)>>>;

    /// Writes the leader's note, bound to a lease, if there is none; returns the note that is there otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown or the lease has ended.
    fn claim_leadership(&self, lease: u64, note: LeaderEntry) -> LocalBoxFuture<'_, Result<ClaimOutcome>>;

    /// Creates a lease.
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

    /// Ends a lease.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is unknown.
    fn revoke(&self, lease: u64) -> LocalBoxFuture<'_, Result<()>>;
}

/// A value and the revision of the store at which it was read.
#[derive(Debug, Clone)]
pub struct Snapshot<T> {
    /// The value.
    pub value: T,
    /// The revision from which a watch goes on.
    pub revision: Revision,
}

/// What the leader writes into the store.
#[data]
pub struct LeaderEntry {
    /// Instance and identity of the write.
    pub record: LeaderRecord,
    /// Address at which the leader takes the other instances' connections.
    pub peers: SocketAddr,
}

/// Outcome of an attempt to become the leader.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOutcome {
    /// The note was written at this revision.
    Won(Revision),
    /// Another note is there.
    Taken(Option<(LeaderEntry, Revision)>),
}
