//! Planners in one process, without a platform.

use std::net::SocketAddr;
use std::time::Duration;

use carobwick_core::ConfigRecord;
use carobwick_core::DrainReply;
use carobwick_core::DrainRequest;
use carobwick_core::DrainTarget;
use carobwick_core::Manifest;
use carobwick_core::SharedState;
use carobwick_core::StatusReport;
use carobwick_core::WriteId;
use carobwick_planner::Planner;
use carobwick_planner::Settings;
use carobwick_runtime::HttpClient;

const LOCAL: &str = "127.0.0.1:0";

fn settings(instance: &str, seeds: Vec<SocketAddr>) -> Settings {
    Settings {
        instance: instance.parse().unwrap(),
        zone: "a".parse().unwrap(),
        peer: LOCAL.parse().unwrap(),
        operators: LOCAL.parse().unwrap(),
        // Nothing listens on these ports.
        key_value: "http://127.0.0.1:1".to_owned(),
        instances: "http://127.0.0.1:2".to_owned(),
        seeds,
        log: "info".to_owned(),
        check: false,
    }
}

async fn pair() -> (Planner, Planner) {
    let first = Planner::start(settings("p0", Vec::new())).await.unwrap();
    let second = Planner::start(settings("p1", vec![first.peer()])).await.unwrap();
    (first, second)
}

/// Waits until the state is as wanted; the test's own limit ends a wait in vain.
async fn until(planner: &Planner, wanted: impl Fn(&SharedState) -> bool) {
    while !planner.node().read(&wanted) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn manifest() -> Manifest {
    let text = std::fs::read_to_string("../../examples/be-fl.json").unwrap();
    Manifest::from_json(&text).unwrap()
}

/// Guards against drains that need the platform.
#[tokio::test]
async fn drain_is_accepted_and_learned_by_a_peer_while_the_platform_is_away() {
    let (first, second) = pair().await;
    let target = DrainTarget::Endpoint("e1".parse().unwrap());
    let http = HttpClient::open(Duration::from_secs(10));
    let url = format!("http://{}/admin/drains", second.operators());
    let request = DrainRequest { target: target.clone(), drained: true };
    let reply: DrainReply = http.post(&url, &request).await.unwrap();
    assert!(!reply.durable);
    until(&first, |state| state.drains.is_drained(&target)).await;
    let url = format!("http://{}/admin/status", first.operators());
    let status: StatusReport = http.get(&url).await.unwrap();
    assert_eq!(status.drains, vec![target]);
    first.stop().await.unwrap();
    second.stop().await.unwrap();
}

/// Guards against a process that starts during an outage of the platform and stays without a manifest.
#[tokio::test]
async fn manifest_comes_from_a_peer_while_the_platform_is_away() {
    let (first, second) = pair().await;
    let record = ConfigRecord::first(manifest(), WriteId(1)).unwrap();
    first.node().update(|state| state.adopt(record));
    until(&second, |state| state.config.is_some()).await;
    first.stop().await.unwrap();
    second.stop().await.unwrap();
}
