//! Planners in the test's process, without a platform or with a stand-in for the key-value service.

use std::net::SocketAddr;
use std::time::Duration;

use carobwick_core::ConfigRecord;
use carobwick_core::DemandReport;
use carobwick_core::DrainReply;
use carobwick_core::DrainRequest;
use carobwick_core::DrainTarget;
use carobwick_core::Explanation;
use carobwick_core::Manifest;
use carobwick_core::PeerMessage;
use carobwick_core::PublishReply;
use carobwick_core::RollbackRequest;
use carobwick_core::SharedState;
use carobwick_core::StatusReport;
use carobwick_core::Version;
use carobwick_core::WriteId;
use carobwick_planner::Planner;
use carobwick_planner::Settings;
use carobwick_runtime::Error;
use carobwick_runtime::HttpClient;
use carobwick_runtime::PeerClient;
use carobwick_runtime::PeerServer;
use carobwick_standins::KvFaults;
use carobwick_standins::KvStandin;
use serde_json::json;
use test_case::test_case;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const ANY_LOCAL_PORT: &str = "127.0.0.1:0";

fn settings(instance: &str, seeds: Vec<SocketAddr>) -> Settings {
    Settings {
        instance: instance.parse().unwrap(),
        zone: "a".parse().unwrap(),
        peer: ANY_LOCAL_PORT.parse().unwrap(),
        operators: ANY_LOCAL_PORT.parse().unwrap(),
        // Nothing listens on these ports.
        key_value: "http://127.0.0.1:1".to_owned(),
        instances: "http://127.0.0.1:2".to_owned(),
        seeds,
        log: "info".to_owned(),
        check: false,
    }
}

async fn start_pair() -> (Planner, Planner) {
    let first = Planner::start(settings("p0", Vec::new())).await.unwrap();
    let second = Planner::start(settings("p1", vec![first.peer_addr()])).await.unwrap();
    (first, second)
}

/// Waits until the state meets a condition; only the time limit of the test ends a wait that never succeeds.
async fn wait_for_state(planner: &Planner, condition: impl Fn(&SharedState) -> bool) {
    while !planner.node().read(&condition) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn manifest() -> Manifest {
    let text = std::fs::read_to_string("../../examples/be-fl.json").unwrap();
    Manifest::from_json(&text).unwrap()
}

/// Guards against drains that fail while the platform is unreachable.
#[tokio::test]
async fn drain_reaches_a_peer_while_the_platform_is_unreachable() {
    let (first, second) = start_pair().await;
    let target = DrainTarget::Endpoint("e1".parse().unwrap());
    let http = HttpClient::open(Duration::from_secs(10));
    let url = format!("http://{}/admin/drains", second.operator_addr());
    let request = DrainRequest { target: target.clone(), drained: true };
    let reply: DrainReply = http.post(&url, &request).await.unwrap();
    assert!(!reply.durable);
    wait_for_state(&first, |state| state.drains.is_drained(&target)).await;
    let url = format!("http://{}/admin/status", first.operator_addr());
    let status: StatusReport = http.get(&url).await.unwrap();
    assert_eq!(status.drains, vec![target]);
    first.stop().await.unwrap();
    second.stop().await.unwrap();
}

/// Guards against a process that gets no manifest because it starts during an outage of the platform.
#[tokio::test]
async fn manifest_comes_from_a_peer_while_the_platform_is_unreachable() {
    let (first, second) = start_pair().await;
    let record = ConfigRecord::first(manifest(), WriteId(1)).unwrap();
    first.node().update(|state| state.adopt(record));
    wait_for_state(&second, |state| state.config.is_some()).await;
    first.stop().await.unwrap();
    second.stop().await.unwrap();
}

async fn start_with_key_value(faults: KvFaults) -> (KvStandin, Planner, Planner) {
    let kv = KvStandin::spawn(ANY_LOCAL_PORT.parse().unwrap(), faults).await.unwrap();
    let key_value = format!("http://{}", kv.server().addr());
    let first = Settings { key_value: key_value.clone(), ..settings("p0", Vec::new()) };
    let first = Planner::start(first).await.unwrap();
    // Without seeds, the second planner receives changes only from the key-value service.
    let second = Planner::start(Settings { key_value, ..settings("p1", Vec::new()) }).await.unwrap();
    (kv, first, second)
}

async fn publish(planner: &Planner, query: &str) -> Result<PublishReply, Error> {
    let http = HttpClient::open(Duration::from_secs(10));
    http.post(&format!("http://{}/admin/manifest{query}", planner.operator_addr()), &manifest()).await
}

/// Guards against a publish that is lost, or reported as not accepted, when the reply to its write is lost.
#[test_case(0 ; "reply arrives")]
#[test_case(1 ; "reply is lost after the write")]
#[tokio::test]
async fn publish_is_accepted_once_and_reaches_the_other_planner(lose_replies: u32) {
    let faults = KvFaults { lose_replies, ..KvFaults::default() };
    let (_kv, first, second) = start_with_key_value(faults).await;
    assert_eq!(publish(&first, "").await.unwrap().version, Version(1));
    wait_for_state(&second, |state| state.config.as_ref().is_some_and(|record| record.version == Version(1)))
        .await;
    assert_eq!(publish(&second, "?expect=1").await.unwrap().version, Version(2));
    wait_for_state(&first, |state| state.config.as_ref().is_some_and(|record| record.version == Version(2)))
        .await;
    let err = publish(&first, "?expect=1").await.unwrap_err();
    assert!(matches!(err, Error::Status(409, _)), "{err}");
}

/// Guards against a watch that misses a change and continues as if nothing were missing.
#[tokio::test]
async fn revision_check_detects_a_missed_watch_event() {
    let (kv, first, second) = start_with_key_value(KvFaults::default()).await;
    publish(&first, "").await.unwrap();
    wait_for_state(&second, |state| state.config.is_some()).await;
    kv.faults().set(KvFaults { drop_events: 2, ..KvFaults::default() });
    publish(&first, "").await.unwrap();
    wait_for_state(&second, |state| state.config.as_ref().is_some_and(|record| record.version == Version(2)))
        .await;
}

/// Guards against drains that were accepted during an outage and are never stored.
#[tokio::test]
async fn drain_during_an_outage_is_stored_after_it() {
    let (kv, first, second) = start_with_key_value(KvFaults { down: true, ..KvFaults::default() }).await;
    let target = DrainTarget::Instance("i1".parse().unwrap());
    let http = HttpClient::open(Duration::from_secs(10));
    let request = DrainRequest { target: target.clone(), drained: true };
    let url = format!("http://{}/admin/drains", first.operator_addr());
    let reply: DrainReply = http.post(&url, &request).await.unwrap();
    assert!(!reply.durable);
    kv.faults().set(KvFaults::default());
    wait_for_state(&second, |state| state.drains.is_drained(&target)).await;
}

/// Guards against a rollback that works only on a planner that still has the older version in memory.
#[tokio::test]
async fn rollback_finds_an_older_version_in_the_archive() {
    let (kv, first, _second) = start_with_key_value(KvFaults::default()).await;
    for _ in 0..3 {
        publish(&first, "").await.unwrap();
    }
    let key_value = format!("http://{}", kv.server().addr());
    let third = Planner::start(Settings { key_value, ..settings("p2", Vec::new()) }).await.unwrap();
    let http = HttpClient::open(Duration::from_secs(10));
    let url = format!("http://{}/admin/rollback", third.operator_addr());
    let reply: PublishReply = http.post(&url, &RollbackRequest { version: Version(1) }).await.unwrap();
    assert_eq!(reply.version, Version(4));
    let unknown = http.post::<_, PublishReply>(&url, &RollbackRequest { version: Version(9) }).await;
    assert!(matches!(unknown, Err(Error::Status(404, _))));
    let url = format!("http://{}/admin/explain/smid-01:a1", third.operator_addr());
    let explanation: Explanation = http.get(&url).await.unwrap();
    assert!(explanation.declared && explanation.home.is_some());
}

/// Guards against demand that does not reach the zone's leader, or that planners with different views relay
/// to each other without end.
#[tokio::test]
async fn demand_report_is_relayed_only_once() {
    let planner = Planner::start(settings("p0", Vec::new())).await.unwrap();
    let (sender, mut messages) = tokio::sync::mpsc::unbounded_channel();
    let leader = PeerServer::bind(ANY_LOCAL_PORT.parse().unwrap(), move |message| {
        if matches!(message, PeerMessage::Demand(_) | PeerMessage::Relayed(_)) {
            sender.send(message).unwrap();
        }
        async { PeerMessage::Ack }
    });
    let leader = leader.await.unwrap();
    let view = json!({
        "zone": "a", "fence": 1, "version": 1, "leader": "p1", "endpoints": {},
        "instances": {"p1": {"entry": "", "peer": leader.addr().to_string(), "live": true}},
    });
    planner.node().update(|state| state.merge_view(serde_json::from_value(view).unwrap()));
    let report =
        |interval_ms| DemandReport { instance: "p0".parse().unwrap(), interval_ms, models: [].into() };
    let client = PeerClient::open(Duration::from_secs(10));
    let addr = planner.peer_addr().to_string();
    client.exchange(&addr, &PeerMessage::Relayed(report(1))).await.unwrap();
    client.exchange(&addr, &PeerMessage::Demand(report(2))).await.unwrap();
    assert_eq!(messages.recv().await, Some(PeerMessage::Relayed(report(2))));
    assert!(messages.try_recv().is_err(), "a relayed report was relayed again");
}

/// Guards against metrics that are declared but not served.
#[tokio::test]
async fn metrics_contain_the_version_in_force() {
    let planner = Planner::start(settings("p0", Vec::new())).await.unwrap();
    let record = ConfigRecord::first(manifest(), WriteId(1)).unwrap();
    planner.node().update(|state| state.adopt(record));
    let http = HttpClient::open(Duration::from_secs(10));
    let url = format!("http://{}/metrics", planner.operator_addr());
    let body = http.send(axum::http::Method::GET, &url, axum::body::Bytes::new()).await.unwrap();
    let text = String::from_utf8(body.to_vec()).unwrap();
    let value = text.lines().find(|line| line.starts_with("carobwick_manifest_version")).unwrap();
    assert!(value.ends_with(" 1"), "{value}");
}

/// Guards against drains that a stopping planner accepts and that end with it.
#[tokio::test]
async fn a_drain_that_a_stopping_planner_accepts_reaches_a_peer() {
    let (first, second) = start_pair().await;
    let http = HttpClient::open(Duration::from_secs(10));
    let url = format!("http://{}/admin/drains", second.operator_addr());
    let early = DrainRequest { target: DrainTarget::Endpoint("e0".parse().unwrap()), drained: true };
    let _reply: DrainReply = http.post(&url, &early).await.unwrap();
    wait_for_state(&first, |state| state.drains.is_drained(&early.target)).await;
    let late = DrainRequest { target: DrainTarget::Endpoint("e1".parse().unwrap()), drained: true };
    let body = serde_json::to_string(&late).unwrap();
    let mut stream = TcpStream::connect(second.operator_addr()).await.unwrap();
    let head = format!(
        "POST /admin/drains HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let stopping = tokio::spawn(second.stop());
    tokio::time::sleep(Duration::from_millis(100)).await;
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    stopping.await.unwrap().unwrap();
    let reached = wait_for_state(&first, |state| state.drains.is_drained(&late.target));
    let reached = tokio::time::timeout(Duration::from_secs(3), reached).await;
    assert!(reached.is_ok(), "the drain was accepted and is lost");
}
