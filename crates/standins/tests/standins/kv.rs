//! Tests of the key-value service through its client.

use std::time::Duration;

use carobwick_runtime::Error;
use carobwick_runtime::HttpClient;
use carobwick_runtime::KeyValueClient;
use carobwick_runtime::Precondition;
use carobwick_runtime::WriteOutcome;
use carobwick_standins::KvFaults;
use carobwick_standins::KvStandin;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;

async fn start() -> (KvStandin, KeyValueClient) {
    let addr = "127.0.0.1:0".parse().unwrap();
    let kv = KvStandin::spawn(addr, KvFaults::default()).await.unwrap();
    let client = KeyValueClient::open(&kv.server().url(), Duration::from_millis(500));
    (kv, client)
}

fn written_revision(put: &WriteOutcome) -> u64 {
    match put {
        WriteOutcome::Written(revision) => *revision,
        WriteOutcome::Conflict(found) => panic!("not written: {found:?}"),
    }
}

/// Guards against two writers that both succeed in creating a key.
#[tokio::test]
async fn only_one_of_two_creates_succeeds() {
    let (_kv, client) = start().await;
    let first = client.put_if("leader", Precondition::Absent, b"a", None).await.unwrap();
    let second = client.put_if("leader", Precondition::Absent, b"b", None).await.unwrap();
    let WriteOutcome::Conflict(Some(found)) = second else {
        panic!("the second writer created the key too: {second:?}");
    };
    assert_eq!((found.value.as_slice(), found.revision), (b"a".as_slice(), written_revision(&first)));
}

/// Guards against a lost update by a write whose precondition is an old revision.
#[tokio::test]
async fn stale_revision_is_refused() {
    let (_kv, client) = start().await;
    let first = written_revision(&client.put_if("plan", Precondition::Absent, b"1", None).await.unwrap());
    let second =
        written_revision(&client.put_if("plan", Precondition::Revision(first), b"2", None).await.unwrap());
    assert!(second > first);
    let stale = client.put_if("plan", Precondition::Revision(first), b"3", None).await.unwrap();
    assert!(matches!(stale, WriteOutcome::Conflict(Some(found)) if found.value == b"2"));
    let deleted = client.delete_if("plan", Precondition::Revision(second)).await.unwrap();
    assert!(written_revision(&deleted) > second);
    assert_eq!(client.get("plan").await.unwrap(), None);
}

/// Guards against comparisons with the wrong version or revision of a key.
#[test_case("VERSION", "version", "2", true; "version counts the writes of the key")]
#[test_case("VERSION", "version", "3", false; "version is not a revision")]
#[test_case("CREATE", "create_revision", "2", true; "create revision is that of the first write")]
#[test_case("MOD", "mod_revision", "2", false; "mod revision changes with each write")]
#[test_case("MOD", "mod_revision", "3", true; "mod revision is that of the last write")]
#[tokio::test]
async fn compare_targets(target: &str, field: &str, value: &str, succeeds: bool) {
    let (kv, client) = start().await;
    let first = written_revision(&client.put_if("k", Precondition::Absent, b"1", None).await.unwrap());
    client.put_if("k", Precondition::Revision(first), b"2", None).await.unwrap();
    let mut compare = json!({"target": target, "key": "aw=="});
    compare[field] = Value::String(value.to_owned());
    let http = HttpClient::open(Duration::from_secs(1));
    let url = format!("{}/v3/kv/txn", kv.server().url());
    let response: Value = http.post(&url, &json!({"compare": [compare]})).await.unwrap();
    assert_eq!(response["succeeded"] == true, succeeds);
}

/// Guards against a key that outlives its lease, and against one that is deleted although its lease is
/// renewed.
#[tokio::test]
async fn key_is_deleted_with_its_lease() {
    let (_kv, client) = start().await;
    let lease = client.grant(Duration::from_secs(1)).await.unwrap();
    client.put_if("leader", Precondition::Absent, b"a", Some(lease)).await.unwrap();
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(client.keep_alive(lease).await.unwrap());
    }
    assert!(client.get("leader").await.unwrap().is_some());
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert!(!client.keep_alive(lease).await.unwrap());
    assert_eq!(client.get("leader").await.unwrap(), None);
}

/// Guards against a key that outlives its revoked lease, and against a write with a lease that was revoked.
#[tokio::test]
async fn revoked_lease_deletes_its_keys() {
    let (_kv, client) = start().await;
    let lease = client.grant(Duration::from_mins(1)).await.unwrap();
    client.put_if("leader", Precondition::Absent, b"a", Some(lease)).await.unwrap();
    client.revoke(lease).await.unwrap();
    assert_eq!(client.get("leader").await.unwrap(), None);
    let late = client.put_if("leader", Precondition::Absent, b"a", Some(lease)).await;
    assert!(matches!(late, Err(Error::Status(400, _))));
}

/// Guards against a watch that misses changes since its start revision, or that sends changes of other keys.
#[tokio::test]
async fn watch_starts_at_its_revision() {
    let (_kv, client) = start().await;
    let first = written_revision(&client.put_if("zones/a", Precondition::Absent, b"1", None).await.unwrap());
    client.put_if("other", Precondition::Absent, b"x", None).await.unwrap();
    let mut watch = client.watch("zones/", first).await.unwrap();
    assert_eq!(watch.next().await.unwrap()[0].value, b"1");
    client.put_if("zones/b", Precondition::Absent, b"2", None).await.unwrap();
    assert_eq!(watch.next().await.unwrap()[0].key, "zones/b");
    let deleted =
        written_revision(&client.delete_if("zones/a", Precondition::Revision(first)).await.unwrap());
    let event = watch.next().await.unwrap().remove(0);
    assert_eq!((event.key.as_str(), event.value.len(), event.revision), ("zones/a", 0, deleted));
}

/// Guards against accepting values that the platform refuses.
#[tokio::test]
async fn values_above_one_megabyte_are_refused() {
    let (_kv, client) = start().await;
    let fits = client.put_if("big", Precondition::Absent, &vec![b'x'; 1_000_000], None).await.unwrap();
    written_revision(&fits);
    let larger = client.put_if("bigger", Precondition::Absent, &vec![b'x'; 1_000_001], None).await;
    assert!(matches!(larger, Err(Error::Status(400, _))));
}

/// Guards against a range request for keys only that returns the values as well.
#[tokio::test]
async fn keys_are_listed_without_values() {
    let (kv, client) = start().await;
    let revision = written_revision(&client.put_if("k/a", Precondition::Absent, b"1", None).await.unwrap());
    assert_eq!(client.revisions("k/").await.unwrap(), [("k/a".to_owned(), revision)]);
    let http = HttpClient::open(Duration::from_secs(1));
    let url = format!("{}/v3/kv/range", kv.server().url());
    let response: Value = http.post(&url, &json!({"key": "ay9h", "keys_only": true})).await.unwrap();
    assert_eq!(response["kvs"][0]["value"], Value::Null);
}

/// Guards against a watch that counts once per event, and against calls that are not counted.
#[tokio::test]
async fn calls_are_counted_by_kind() {
    let (kv, client) = start().await;
    let mut watch = client.watch("k/", 1).await.unwrap();
    client.put_if("k/a", Precondition::Absent, b"1", None).await.unwrap();
    client.get("k/a").await.unwrap();
    client.get("k/a").await.unwrap();
    watch.next().await.unwrap();
    let counts = kv.call_counts();
    assert_eq!((counts["watch"], counts["txn"], counts["range"]), (1, 1, 2));
}

/// Guards against a lost reply that also loses the write, with which double writes would go unnoticed.
#[tokio::test]
async fn lost_reply_keeps_the_write() {
    let (kv, client) = start().await;
    kv.faults().set(KvFaults { lose_replies: 1, ..KvFaults::default() });
    let lost = client.put_if("k/a", Precondition::Absent, b"1", None).await;
    assert!(lost.unwrap_err().is_ambiguous());
    assert_eq!(client.get("k/a").await.unwrap().unwrap().value, b"1");
}

/// Guards against an outage that some calls survive, or that goes on after the fault is turned off.
#[test_case(KvFaults { down: true, ..KvFaults::default() }; "down")]
#[test_case(KvFaults { frozen: true, ..KvFaults::default() }; "frozen")]
#[test_case(KvFaults { delay_ms: 2_000, ..KvFaults::default() }; "slow")]
#[tokio::test]
async fn outage_ends_with_its_fault_switch(faults: KvFaults) {
    let (kv, client) = start().await;
    client.put_if("k/a", Precondition::Absent, b"1", None).await.unwrap();
    kv.faults().set(faults);
    client.get("k/a").await.unwrap_err();
    client.put_if("k/b", Precondition::Absent, b"1", None).await.unwrap_err();
    kv.faults().set(KvFaults::default());
    assert!(client.get("k/a").await.unwrap().is_some());
    assert_eq!(client.get("k/b").await.unwrap(), None);
}

/// Guards against a watch that stays open during an outage.
#[tokio::test]
async fn outage_breaks_watches_and_refuses_connections() {
    let (kv, client) = start().await;
    let mut watch = client.watch("k/", 1).await.unwrap();
    kv.faults().set(KvFaults { refuse_ms: 300, ..KvFaults::default() });
    watch.next().await.unwrap_err();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert!(matches!(client.get("k/a").await, Err(Error::Connect(_))));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(client.get("k/a").await.unwrap(), None);
}

/// Guards against a drop fault that breaks the watch instead of skipping a change.
#[tokio::test]
async fn watch_gap_skips_changes() {
    let (kv, client) = start().await;
    let mut watch = client.watch("k/", 1).await.unwrap();
    kv.faults().set(KvFaults { drop_events: 1, ..KvFaults::default() });
    client.put_if("k/a", Precondition::Absent, b"1", None).await.unwrap();
    client.put_if("k/b", Precondition::Absent, b"1", None).await.unwrap();
    assert_eq!(watch.next().await.unwrap()[0].key, "k/b");
}

/// Guards against faults that can't be changed over HTTP, also during an outage.
#[tokio::test]
async fn faults_can_be_posted_while_down() {
    let (kv, client) = start().await;
    let http = HttpClient::open(Duration::from_secs(1));
    let url = format!("{}/faults", kv.server().url());
    let _: Value = http.post(&url, &json!({"down": true})).await.unwrap();
    client.get("k/a").await.unwrap_err();
    let _: Value = http.post(&url, &json!({})).await.unwrap();
    assert_eq!(client.get("k/a").await.unwrap(), None);
    let unknown: Result<Value, Error> = http.post(&url, &json!({"dwon": true})).await;
    assert!(matches!(unknown, Err(Error::Status(422, _))));
}
