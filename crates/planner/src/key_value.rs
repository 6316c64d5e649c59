use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobwick_core::Adoption;
use carobwick_core::ConfigRecord;
use carobwick_core::Delta;
use carobwick_core::DrainEvent;
use carobwick_core::DrainSet;
use carobwick_core::DrainStep;
use carobwick_core::DrainStore;
use carobwick_core::StoredConfig;
use carobwick_core::watches_config;
use carobwick_runtime::KvEntry;
use carobwick_runtime::MergeOutcome;
use carobwick_runtime::Precondition;
use carobwick_runtime::Result;
use carobwick_runtime::WriteOutcome;
use rand::Rng;

use crate::Context;

pub(crate) const MANIFEST_KEY: &str = "config/manifest";
const DRAINS_KEY: &str = "config/drains";
/// Name of the service in log lines and in the timeline.
const SOURCE_NAME: &str = "the key-value service";
const CONFIG_PREFIX: &str = "config/";

/// Time without an event after which the revisions are read, since a watch can stop delivering without an
/// error. Also the longest pause between two watches.
const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time for a watch to deliver a change whose revision was already read.
const MAX_WATCH_DELAY: Duration = Duration::from_millis(500);

/// Keeps the state up to date with the key-value service while this planner is one of its zone's watchers.
pub(crate) async fn run(context: Context) -> anyhow::Result<()> {
    loop {
        if is_watcher(&context) {
            let ended = watch(&context).await;
            if let Err(err) = ended {
                context.kv_reachable.store(false, Ordering::Relaxed);
                tracing::debug!("kv: watch of {CONFIG_PREFIX} ended: {err}");
            }
        }
        let pause = CHECK_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.0));
        tokio::time::sleep(pause).await;
    }
}

/// Returns the stored record of the manifest with its revision, or `None` if there is none.
pub(crate) async fn read_config(context: &Context) -> Result<Option<StoredConfig>> {
    let entry = record_reachability(context, context.key_value.get(MANIFEST_KEY).await)?;
    let Some(entry) = entry else {
        return Ok(None);
    };
    let record: ConfigRecord = serde_json::from_slice(&entry.value)?;
    Ok(Some(StoredConfig { revision: entry.revision, record: Arc::new(record) }))
}

/// Calls the key-value service to find out whether it responds.
pub(crate) async fn check_reachable(context: &Context) {
    if let Err(err) = record_reachability(context, context.key_value.revisions(CONFIG_PREFIX).await) {
        tracing::debug!("kv: no response: {err}");
    }
}

/// Records whether a call to the key-value service succeeded, and returns its result.
pub(crate) fn record_reachability<T>(context: &Context, result: Result<T>) -> Result<T> {
    context.kv_reachable.store(result.is_ok(), Ordering::Relaxed);
    result
}

/// Writes the drains that the key-value service lacks.
///
/// Returns whether all drains of this process are known to be stored.
///
/// # Errors
///
/// Fails if the service can't be read or written.
pub(crate) async fn store_drains(context: &Context) -> Result<bool> {
    let mut store = DrainStore::default();
    let mut step = DrainStep::Read;
    loop {
        let event = match step {
            DrainStep::Read => DrainEvent::Read(read_drains(context).await?),
            DrainStep::Write { expect, drains } => {
                let precondition = expect.map_or(Precondition::Absent, Precondition::Revision);
                let outcome = context
                    .key_value
                    .put_if(DRAINS_KEY, precondition, &serde_json::to_vec(&drains)?, None)
                    .await;
                match record_reachability(context, outcome)? {
                    WriteOutcome::Written(_) => DrainEvent::Written,
                    WriteOutcome::Conflict(_) => DrainEvent::Refused,
                }
            }
            DrainStep::Done(durable) => return Ok(durable),
        };
        let own = context.node.read(|state| state.drains.clone());
        step = store.next(event, &own);
    }
}

async fn read_drains(context: &Context) -> Result<Option<(u64, DrainSet)>> {
    let Some(entry) = record_reachability(context, context.key_value.get(DRAINS_KEY).await)? else {
        return Ok(None);
    };
    let drains: DrainSet = serde_json::from_slice(&entry.value)?;
    merge_drains(context, drains.clone());
    Ok(Some((entry.revision, drains)))
}

fn is_watcher(context: &Context) -> bool {
    context
        .node
        .read(|state| watches_config(state.views.get(&context.zone).map(AsRef::as_ref), &context.instance))
}

/// Reads all keys under the prefix, then applies their changes until the watch breaks or misses a change, or
/// until this planner is no longer a watcher.
async fn watch(context: &Context) -> Result<()> {
    let entries = record_reachability(context, context.key_value.list(CONFIG_PREFIX).await)?;
    let mut last_revision = entries.iter().map(|entry| entry.revision).max().unwrap_or(0);
    for entry in &entries {
        apply_entry(context, entry);
    }
    store_drains(context).await?;
    let mut watch = context.key_value.watch(CONFIG_PREFIX, last_revision + 1).await?;
    while is_watcher(context) {
        let next = tokio::time::timeout(CHECK_INTERVAL, watch.next()).await;
        if let Ok(entries) = next {
            for entry in entries? {
                last_revision = last_revision.max(entry.revision);
                apply_entry(context, &entry);
            }
            continue;
        }
        let revisions = record_reachability(context, context.key_value.revisions(CONFIG_PREFIX).await)?;
        let newest = revisions.into_iter().map(|(_, revision)| revision).max().unwrap_or(0);
        if newest > last_revision {
            // The watch may still deliver the change.
            let Ok(entries) = tokio::time::timeout(MAX_WATCH_DELAY, watch.next()).await else {
                tracing::warn!("kv: watch of {CONFIG_PREFIX} missed revision {newest}");
                return Ok(());
            };
            for entry in entries? {
                last_revision = last_revision.max(entry.revision);
                apply_entry(context, &entry);
            }
            continue;
        }
        store_drains(context).await?;
    }
    Ok(())
}

fn apply_entry(context: &Context, entry: &KvEntry) {
    match entry.key.as_str() {
        _ if entry.value.is_empty() => {}
        MANIFEST_KEY => match serde_json::from_slice::<ConfigRecord>(&entry.value) {
            Ok(record) => {
                let own = context.node.read(|state| state.config.clone());
                if record.adoption(own.as_deref()) == Adoption::Conflict {
                    context.record_conflict(record.version, SOURCE_NAME);
                }
                merge(context, Delta { config: Some(record), ..Delta::default() });
            }
            Err(err) => tracing::error!("kv: {MANIFEST_KEY} is not a valid manifest record: {err}"),
        },
        DRAINS_KEY => match serde_json::from_slice::<DrainSet>(&entry.value) {
            Ok(drains) => merge_drains(context, drains),
            Err(err) => tracing::error!("kv: {DRAINS_KEY} is not a valid set of drains: {err}"),
        },
        _ => {}
    }
}

fn merge_drains(context: &Context, drains: DrainSet) {
    merge(context, Delta { drains, ..Delta::default() });
}

fn merge(context: &Context, delta: Delta) {
    let changes = context.node.merge(delta);
    context.record_merge(&MergeOutcome { changes, conflicting_version: None }, SOURCE_NAME);
}
