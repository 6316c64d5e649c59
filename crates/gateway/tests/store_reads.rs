//! Reads of the store whose responses are lost while the connection stays open.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobwick_core::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::Era;
use carobwick_core::Fence;
use carobwick_core::InstanceId;
use carobwick_core::Millis;
use carobwick_core::Revision;
use carobwick_core::TenantId;
use carobwick_core::Version;
use carobwick_core::gateway::CallerLimits;
use carobwick_core::gateway::Conviction;
use carobwick_core::gateway::EndpointChange;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EndpointNotice;
use carobwick_core::gateway::EngineOrder;
use carobwick_core::gateway::InstanceSize;
use carobwick_core::gateway::OrderReply;
use carobwick_core::gateway::QuotaTerms;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::RetryTerms;
use carobwick_core::gateway::RouteTable;
use carobwick_core::gateway::ServedVersion;
use carobwick_core::gateway::VersionRecord;
use carobwick_gateway::ClaimOutcome;
use carobwick_gateway::EngineReport;
use carobwick_gateway::ForwardedRequest;
use carobwick_gateway::Gateway;
use carobwick_gateway::LeaderEntry;
use carobwick_gateway::ResponseHead;
use carobwick_gateway::Result;
use carobwick_gateway::Settings;
use carobwick_gateway::Snapshot;
use carobwick_gateway::Store;
use carobwick_gateway::Terms;
use carobwick_gateway::WireFormat;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::future::pending;
use futures_util::future::ready;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use indexmap::IndexMap;
use tokio::task::LocalSet;

/// Longest time that a test waits for a change; shorter than a follower's watch of the configuration, which
/// waits 30 s.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest wait where an instance without a leader must not wait for the end of its watch, which takes 10 s.
const SHORT_CHANGE_TIMEOUT: Duration = Duration::from_secs(9);
const DRAIN_TIME: Duration = Duration::from_secs(2);
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Content of the store, the same for all instances.
#[derive(Debug, Default)]
struct Content {
    version: Cell<u64>,
    leader: RefCell<Option<LeaderEntry>>,
}

/// Store as one instance sees it; its watches never get a response.
#[derive(Debug, Default)]
struct SilentStore {
    content: Rc<Content>,
    /// Whether the instance can get a lease and become the leader.
    can_lead: bool,
    config_reads: Cell<u32>,
    list_reads: Cell<u32>,
    list_wait: Cell<Option<Duration>>,
    config_wait: Cell<Option<Duration>>,
}

impl Store for SilentStore {
    fn config(&self) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>> {
        self.config_reads.set(self.config_reads.get() + 1);
        let version = self.content.version.get();
        let table = RouteTable::new(Version(version), limits(), IndexMap::new(), Vec::new());
        ready(Ok(Snapshot { value: Some(Arc::new(table)), revision: Revision(version) })).boxed_local()
    }

    fn watch_config(
        &self,
        _after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>> {
        self.config_wait.set(Some(wait));
        pending().boxed_local()
    }

    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Snapshot<Vec<EndpointEntry>>>> {
        self.list_reads.set(self.list_reads.get() + 1);
        ready(Ok(Snapshot { value: Vec::new(), revision: Revision(1) })).boxed_local()
    }

    fn watch_endpoints(
        &self,
        _after: Revision,
        wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Vec<EndpointChange>>>> {
        self.list_wait.set(Some(wait));
        pending().boxed_local()
    }

    fn leader(&self) -> LocalBoxFuture<'_, Result<Option<(LeaderEntry, Revision)>>> {
        let entry = self.content.leader.borrow().clone();
        ready(Ok(entry.map(|entry| (entry, Revision(5))))).boxed_local()
    }

    fn latest_leader(&self) -> LocalBoxFuture<'_, Result<Option<(LeaderEntry, Revision)>>> {
        self.leader()
    }

    fn era(&self) -> Era {
        Era::default()
    }

    fn claim_leadership(&self, _lease: u64, entry: LeaderEntry) -> LocalBoxFuture<'_, Result<ClaimOutcome>> {
        *self.content.leader.borrow_mut() = Some(entry);
        ready(Ok(ClaimOutcome::Won(Revision(6)))).boxed_local()
    }

    fn convictions(&self) -> LocalBoxFuture<'_, Result<Vec<Conviction>>> {
        ready(Ok(Vec::new())).boxed_local()
    }

    fn add_conviction(&self, _conviction: Conviction) -> LocalBoxFuture<'_, Result<()>> {
        ready(Ok(())).boxed_local()
    }

    fn quota_fractions(&self) -> LocalBoxFuture<'_, Result<IndexMap<TenantId, f64>>> {
        ready(Ok(IndexMap::new())).boxed_local()
    }

    fn write_quota_fractions<'a>(
        &'a self,
        _fractions: &'a IndexMap<TenantId, f64>,
    ) -> LocalBoxFuture<'a, Result<()>> {
        ready(Ok(())).boxed_local()
    }

    fn served_versions(&self) -> LocalBoxFuture<'_, Result<Snapshot<VersionRecord>>> {
        ready(Ok(Snapshot { value: VersionRecord::default(), revision: Revision(0) })).boxed_local()
    }

    fn latest_served_versions(&self) -> LocalBoxFuture<'_, Result<Snapshot<VersionRecord>>> {
        self.served_versions()
    }

    fn write_served_versions<'a>(
        &'a self,
        _versions: &'a [ServedVersion],
        _replaced: Revision,
    ) -> LocalBoxFuture<'a, Result<Revision>> {
        ready(Ok(Revision(1))).boxed_local()
    }

    fn grant(&self, _ttl: Duration) -> LocalBoxFuture<'_, Result<u64>> {
        if self.can_lead { ready(Ok(1)).boxed_local() } else { pending().boxed_local() }
    }

    fn renew(&self, _lease: u64) -> LocalBoxFuture<'_, Result<bool>> {
        ready(Ok(true)).boxed_local()
    }

    fn revoke(&self, _lease: u64) -> LocalBoxFuture<'_, Result<()>> {
        ready(Ok(())).boxed_local()
    }
}

/// Wire format of instances that get no requests and know no endpoints.
#[derive(Debug)]
struct UnusedWireFormat;

impl WireFormat for UnusedWireFormat {
    fn parse_request(&self, _headers: &HeaderMap) -> Result<RequestHead> {
        unreachable!("there are no callers")
    }

    fn endpoint_headers(&self, _headers: &HeaderMap, _request: &ForwardedRequest<'_>) -> HeaderMap {
        unreachable!("there are no endpoints")
    }

    fn parse_response(&self, _head: &RequestHead, _status: StatusCode, _headers: &HeaderMap) -> ResponseHead {
        unreachable!("there are no endpoints")
    }

    fn parse_notice(&self, _status: StatusCode, _headers: &HeaderMap) -> EndpointNotice {
        unreachable!("there are no endpoints")
    }

    fn order_request(
        &self,
        _order: &EngineOrder,
        _holder: &InstanceId,
        _fence: Fence,
    ) -> Request<Full<bytes::Bytes>> {
        unreachable!("there are no engines")
    }

    fn parse_order_reply(&self, _status: StatusCode, _headers: &HeaderMap) -> OrderReply {
        unreachable!("there are no engines")
    }

    fn report_request(&self, _endpoint: &EndpointId) -> Request<Full<bytes::Bytes>> {
        unreachable!("there are no engines")
    }

    fn parse_report(&self, _body: &[u8]) -> Result<EngineReport> {
        unreachable!("there are no engines")
    }
}

fn limits() -> CallerLimits {
    CallerLimits {
        max_head: Bytes(16_384),
        max_body: Bytes(65_536),
        head_timeout: Millis(3_000),
        idle_timeout: Millis(15_000),
    }
}

/// Returns settings with a loopback address that no other test uses, so that the ports are free.
fn settings(instance: &str) -> Settings {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let ip: IpAddr = Ipv4Addr::new(127, high | 1, low, NEXT.fetch_add(1, Ordering::Relaxed)).into();
    let [callers, ready, metrics, peers] = [8_001, 8_002, 8_003, 8_004].map(|port| SocketAddr::new(ip, port));
    Settings {
        instance: instance.parse().unwrap(),
        zone: "z1".parse().unwrap(),
        callers,
        ready,
        metrics,
        peers,
        store: SocketAddr::new(ip, 8_005),
        size: InstanceSize { cores: 1.0, link: 1_000.0, memory: 256.0 },
        max_fds: None,
        terms: Terms {
            grace: Duration::from_secs(8),
            drain: DRAIN_TIME,
            apply: APPLY_TIME,
            handover: Duration::from_secs(3),
            retry: RetryTerms { ratio: 0.2, window: Duration::from_secs(10), slack: 50.0 },
            quota: QuotaTerms { window: Duration::from_secs(8), overshoot: 0.0, slack: 0.0 },
        },
    }
}

async fn start(instance: &str, store: &Rc<SilentStore>) -> Gateway {
    let shared: Rc<dyn Store> = Rc::clone(store) as Rc<dyn Store>;
    Gateway::bind(settings(instance), Box::new(UnusedWireFormat), shared).await.unwrap()
}

async fn wait_until(condition: impl Fn() -> bool) {
    wait_for(CHANGE_TIMEOUT, condition).await;
}

async fn wait_for(timeout: Duration, condition: impl Fn() -> bool) {
    let waited = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(timeout, waited).await.expect("the state is reached");
}

/// Guards against a lost response that delays the list of endpoints. Requests were sent to endpoints that had
/// left, since a read that waited for many seconds had no shorter timeout.
#[tokio::test]
async fn a_read_of_the_list_without_a_response_times_out() {
    for can_lead in [false, true] {
        let work = async {
            let store = Rc::new(SilentStore { can_lead, ..SilentStore::default() });
            let _gateway = start("n1", &store).await;
            wait_until(|| store.list_wait.get().is_some()).await;
            assert!(store.list_wait.get() <= Some(DRAIN_TIME / 4), "{:?}", store.list_wait);
            let reads = store.list_reads.get();
            wait_until(|| store.list_reads.get() > reads).await;
        };
        LocalSet::new().run_until(work).await;
    }
}

/// Guards against a leader, and thereby its followers, that receive a new configuration late after a lost
/// response. The same goes for a long watch that the leader started as a follower.
#[tokio::test]
async fn a_watch_of_the_configuration_without_a_response_times_out_on_a_leader() {
    let work = async {
        let store = Rc::new(SilentStore { can_lead: true, ..SilentStore::default() });
        let _gateway = start("n1", &store).await;
        let is_short = || store.config_wait.get().is_some_and(|wait| wait <= APPLY_TIME / 4);
        wait_for(SHORT_CHANGE_TIMEOUT, is_short).await;
        let reads = store.config_reads.get();
        wait_until(|| store.config_reads.get() > reads).await;
    };
    LocalSet::new().run_until(work).await;
}

/// A leader and a follower whose watch of the configuration is so long that within a test only the leader can
/// end it.
struct LeaderAndFollower {
    content: Rc<Content>,
    leader: Gateway,
    _follower: Gateway,
    /// Store as the follower sees it.
    store: Rc<SilentStore>,
}

async fn start_pair() -> LeaderAndFollower {
    let content = Rc::new(Content::default());
    let view =
        |can_lead| Rc::new(SilentStore { content: Rc::clone(&content), can_lead, ..SilentStore::default() });
    let (first, store) = (view(true), view(false));
    let leader = start("n1", &first).await;
    wait_until(|| content.leader.borrow().is_some()).await;
    let follower = start("n2", &store).await;
    wait_until(|| store.config_wait.get() > Some(CHANGE_TIMEOUT)).await;
    LeaderAndFollower { content, leader, _follower: follower, store }
}

/// Guards against a follower that serves a stale configuration for as long as its watch waits for a lost
/// response.
#[tokio::test]
async fn a_follower_reads_the_configuration_that_its_leader_has() {
    let work = async {
        let pair = start_pair().await;
        let reads = pair.store.config_reads.get();
        pair.content.version.set(2);
        wait_until(|| pair.store.config_reads.get() > reads).await;
    };
    LocalSet::new().run_until(work).await;
}

/// Guards against an instance without a leader that serves a stale configuration while it waits for a lost
/// response.
#[tokio::test]
async fn a_watch_of_the_configuration_without_a_response_times_out_without_a_leader() {
    let work = async {
        let store = Rc::new(SilentStore::default());
        let _gateway = start("n1", &store).await;
        wait_until(|| store.config_wait.get().is_some()).await;
        let reads = store.config_reads.get();
        wait_for(SHORT_CHANGE_TIMEOUT, || store.config_reads.get() > reads).await;
    };
    LocalSet::new().run_until(work).await;
}

/// Guards against a follower that keeps waiting for a lost response after the leader that confirmed the
/// version is gone.
#[tokio::test]
async fn a_watch_of_the_configuration_without_a_response_times_out_when_the_leader_is_lost() {
    let work = async {
        let LeaderAndFollower { leader, store, _follower, .. } = start_pair().await;
        drop(leader);
        let reads = store.config_reads.get();
        wait_for(SHORT_CHANGE_TIMEOUT, || store.config_reads.get() > reads).await;
    };
    LocalSet::new().run_until(work).await;
}
