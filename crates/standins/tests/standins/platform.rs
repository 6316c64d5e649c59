//! Tests of the instance list and the weight store.

use std::time::Duration;
use std::time::Instant;

use carobwick_core::Bytes;
use carobwick_core::Rate;
use carobwick_runtime::HttpClient;
use carobwick_runtime::InstanceKind;
use carobwick_runtime::InstanceListClient;
use carobwick_runtime::InstanceStatus;
use carobwick_runtime::ListedInstance;
use carobwick_standins::InstanceChange;
use carobwick_standins::InstanceFaults;
use carobwick_standins::InstancesStandin;
use carobwick_standins::LoadRequest;
use carobwick_standins::WeightsFaults;
use carobwick_standins::WeightsOptions;
use carobwick_standins::WeightsStandin;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

use crate::support::ANY_PORT;
use crate::support::TestEngine;
use crate::support::is_resident;
use crate::support::load;

fn listed(id: &str, state: InstanceStatus) -> ListedInstance {
    ListedInstance {
        id: id.to_owned(),
        zone: "z".parse().unwrap(),
        kind: InstanceKind::Entry,
        service: None,
        addr: "127.0.0.1:1".to_owned(),
        peer: String::new(),
        state,
    }
}

async fn instances(lag_ms: u64) -> (InstancesStandin, InstanceListClient) {
    let initial = vec![listed("a", InstanceStatus::Live)];
    let lag = Duration::from_millis(lag_ms);
    let standin = InstancesStandin::spawn(ANY_PORT, initial, lag, InstanceFaults::default()).await.unwrap();
    let client = InstanceListClient::open(&standin.server().url());
    (standin, client)
}

/// Guards against changes that are visible before the lag, or that replace entries that they don't name.
#[tokio::test]
async fn changes_are_visible_after_the_lag() {
    let (standin, client) = instances(200).await;
    let url = format!("{}/instances", standin.server().url());
    let change = json!({"set": [listed("b", InstanceStatus::Live), listed("a", InstanceStatus::Leaving)]});
    let http = HttpClient::open(Duration::from_secs(1));
    http.send(http::Method::POST, &url, change.to_string().into()).await.unwrap();
    assert_eq!(client.list().await.unwrap(), [listed("a", InstanceStatus::Live)]);
    tokio::time::sleep(Duration::from_millis(250)).await;
    let changed = [listed("a", InstanceStatus::Leaving), listed("b", InstanceStatus::Live)];
    assert_eq!(client.list().await.unwrap(), changed);
    standin.change(InstanceChange::Replace(Vec::new()));
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(client.list().await.unwrap(), []);
}

/// Guards against a stale list that loses the changes made in the meantime, and against a response during an
/// outage.
#[tokio::test]
async fn stale_and_down_faults() {
    let (standin, client) = instances(0).await;
    standin.faults().set(InstanceFaults { stale: true, down: false });
    standin.change(InstanceChange::Change { set: Vec::new(), remove: vec!["a".to_owned()] });
    assert_eq!(client.list().await.unwrap().len(), 1);
    standin.faults().set(InstanceFaults { stale: false, down: true });
    client.list().await.unwrap_err();
    standin.faults().set(InstanceFaults::default());
    assert_eq!(client.list().await.unwrap(), []);
}

async fn weights() -> WeightsStandin {
    // One model load takes 200 ms at full speed.
    let options = WeightsOptions { rate: Rate(10.0), concurrent: 2, adapter_concurrent: 4 };
    WeightsStandin::spawn(ANY_PORT, options, WeightsFaults::default()).await.unwrap()
}

/// Runs `count` loads at once and returns the time until all have ended.
async fn run_loads(weights: &WeightsStandin, count: usize, adapter: bool) -> Duration {
    let url = format!("{}/load", weights.server().url());
    let http = HttpClient::open(Duration::from_secs(5));
    let request =
        LoadRequest { model: "m".parse().unwrap(), version: "1".parse().unwrap(), size: Bytes(10), adapter };
    let start = Instant::now();
    let all = (0..count).map(|_| http.post::<_, Value>(&url, &request));
    for response in futures_util::future::join_all(all).await {
        response.unwrap();
    }
    start.elapsed()
}

/// Guards against a weight store that exceeds its rate, or that is slower than full speed within its limits.
#[test_case(2, false, 200; "models at the limit run at full speed")]
#[test_case(6, false, 600; "more models share the rate")]
#[test_case(4, true, 5; "adapters at the limit take some milliseconds")]
#[test_case(160, true, 200; "more adapters slow down in proportion")]
#[tokio::test]
async fn loads_share_the_rate(count: usize, adapter: bool, expected_ms: u64) {
    let weights = weights().await;
    let elapsed = run_loads(&weights, count, adapter).await;
    let expected = Duration::from_millis(expected_ms);
    assert!(
        elapsed >= expected.mul_f64(0.9) && elapsed < expected * 2 + Duration::from_millis(60),
        "{elapsed:?}"
    );
    let stats = weights.stats();
    let counted = if adapter { stats.adapters } else { stats.models };
    assert_eq!((counted.finished, counted.running), (count as u64, 0));
}

/// Guards against a `slow` fault without effect.
#[tokio::test]
async fn slow_fault_delays_loads() {
    let weights = weights().await;
    weights.faults().set(WeightsFaults { slow: 3.0 });
    assert!(run_loads(&weights, 1, false).await >= Duration::from_millis(550));
}

/// Guards against engines that load without the weight store, so that its limits have no effect.
#[tokio::test]
async fn engine_loads_from_the_store() {
    let weights = weights().await;
    let engine = TestEngine::spawn(|options| options.weights_url = Some(weights.server().url())).await;
    let start = Instant::now();
    engine.order(1, load("m", 400, None)).await.unwrap();
    engine.wait_for_state(|state| is_resident(state, "m")).await;
    assert!(start.elapsed() >= Duration::from_millis(180));
    assert_eq!((weights.stats().models.finished, weights.stats().bytes), (1, 400));
}
