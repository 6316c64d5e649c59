//! Election of the leader against an in-memory store.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::Era;
use carobwick_core::LeaderRecord;
use carobwick_core::Revision;
use carobwick_core::TenantId;
use carobwick_core::WriteId;
use carobwick_core::gateway::Conviction;
use carobwick_core::gateway::EndpointChange;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::InstanceSize;
use carobwick_core::gateway::QuotaTerms;
use carobwick_core::gateway::RetryTerms;
use carobwick_core::gateway::RouteTable;
use carobwick_core::gateway::ServedVersion;
use carobwick_core::gateway::VersionRecord;
use carobwick_gateway::ClaimOutcome;
use carobwick_gateway::Election;
use carobwick_gateway::LeaderEntry;
use carobwick_gateway::Result;
use carobwick_gateway::Settings;
use carobwick_gateway::Snapshot;
use carobwick_gateway::Store;
use carobwick_gateway::Terms;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::future::pending;
use futures_util::future::ready;
use indexmap::IndexMap;
use tokio::task::LocalSet;

/// Longest time that a test waits for a change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Store that holds only the leader's entry.
#[derive(Debug, Default)]
struct EntryStore {
    entry: RefCell<Option<LeaderEntry>>,
}

impl Store for EntryStore {
    fn config(&self) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>> {
        pending().boxed_local()
    }

    fn watch_config(
        &self,
        _after: Revision,
        _wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Option<Arc<RouteTable>>>>> {
        pending().boxed_local()
    }

    fn endpoints(&self) -> LocalBoxFuture<'_, Result<Snapshot<Vec<EndpointEntry>>>> {
        pending().boxed_local()
    }

    fn watch_endpoints(
        &self,
        _after: Revision,
        _wait: Duration,
    ) -> LocalBoxFuture<'_, Result<Snapshot<Vec<EndpointChange>>>> {
        pending().boxed_local()
    }

    fn leader(&self) -> LocalBoxFuture<'_, Result<Option<(LeaderEntry, Revision)>>> {
        ready(Ok(self.entry.borrow().clone().map(|entry| (entry, Revision(5))))).boxed_local()
    }

    fn latest_leader(&self) -> LocalBoxFuture<'_, Result<Option<(LeaderEntry, Revision)>>> {
        self.leader()
    }

    fn era(&self) -> Era {
        Era::default()
    }

    fn claim_leadership(&self, _lease: u64, entry: LeaderEntry) -> LocalBoxFuture<'_, Result<ClaimOutcome>> {
        *self.entry.borrow_mut() = Some(entry);
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
        ready(Ok(1)).boxed_local()
    }

    fn renew(&self, _lease: u64) -> LocalBoxFuture<'_, Result<bool>> {
        ready(Ok(true)).boxed_local()
    }

    fn revoke(&self, _lease: u64) -> LocalBoxFuture<'_, Result<()>> {
        ready(Ok(())).boxed_local()
    }
}

fn settings() -> Settings {
    let addr = "127.0.0.1:1".parse().unwrap();
    Settings {
        instance: "n1".parse().unwrap(),
        zone: "z1".parse().unwrap(),
        callers: addr,
        ready: addr,
        metrics: addr,
        peers: addr,
        store: addr,
        size: InstanceSize { cores: 1.0, link: 1_000.0, memory: 256.0 },
        max_fds: None,
        terms: Terms {
            grace: Duration::from_secs(8),
            drain: Duration::from_secs(2),
            apply: Duration::from_secs(2),
            handover: Duration::from_secs(3),
            retry: RetryTerms { ratio: 0.2, window: Duration::from_secs(10), slack: 50.0 },
            quota: QuotaTerms { window: Duration::from_secs(8), overshoot: 0.0, slack: 0.0 },
        },
    }
}

fn entry(instance: &str) -> LeaderEntry {
    let record = LeaderRecord { instance: instance.parse().unwrap(), write_id: WriteId(9) };
    LeaderEntry { record, peers: "127.0.0.1:2".parse().unwrap() }
}

/// Starts an election as `n1` while `n2` is the leader, and waits until that is known.
async fn follow_n2() -> (Rc<EntryStore>, Rc<Election>) {
    let (store, settings) = (Rc::new(EntryStore::default()), Rc::new(settings()));
    *store.entry.borrow_mut() = Some(entry("n2"));
    let election = Rc::new(Election::new(&settings));
    let shared: Rc<dyn Store> = Rc::clone(&store) as Rc<dyn Store>;
    tokio::task::spawn_local(Rc::clone(&election).run(settings, shared));
    while election.leader() != Some(entry("n2")) {
        tokio::task::yield_now().await;
    }
    (store, election)
}

/// Guards against a stopping instance that refuses its last requests for lack of a model, since it still
/// follows the leader from before its stop.
#[tokio::test]
async fn a_stopping_instance_still_sees_a_new_leader() {
    let work = async {
        let (store, election) = follow_n2().await;
        election.resign();
        *store.entry.borrow_mut() = Some(entry("n3"));
        election.wait_leader_changed(&entry("n2")).await;
        *store.entry.borrow_mut() = None;
        election.wait_leader_changed(&entry("n3")).await;
        assert_eq!(election.leader(), None, "it is not a candidate any more");
    };
    tokio::time::timeout(CHANGE_TIMEOUT, LocalSet::new().run_until(work))
        .await
        .expect("the change is noticed");
}

/// Guards against an instance that keeps waiting for a frozen leader after it or another instance has become
/// the leader. On the bench, the new leader sent its first order 4 s late.
#[tokio::test]
async fn following_ends_when_the_leader_changes() {
    let work = async {
        let (store, election) = follow_n2().await;
        assert!(
            election.wait_leader_changed(&entry("n2")).now_or_never().is_none(),
            "n2 is still the leader"
        );
        *store.entry.borrow_mut() = Some(entry("n3"));
        election.wait_leader_changed(&entry("n2")).await;
        assert_eq!(election.leader(), Some(entry("n3")));
        *store.entry.borrow_mut() = None;
        election.wait_leader_changed(&entry("n3")).await;
    };
    tokio::time::timeout(CHANGE_TIMEOUT, LocalSet::new().run_until(work))
        .await
        .expect("the change is noticed");
}
