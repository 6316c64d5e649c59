use std::sync::Arc;

use carobwick_core::ConfigRecord;
use carobwick_core::Manifest;
use carobwick_core::Version;
use carobwick_runtime::Precondition;
use carobwick_runtime::Result;
use carobwick_runtime::WriteOutcome;

use crate::Context;
use crate::key_value::record_reachability;

/// Number of versions that are stored, each under its own key, since a value has at most 1 MB. The keys are
/// outside the watched prefix, so that watchers don't receive each manifest twice.
const SLOT_COUNT: u64 = 16;

/// Stores a record that is about to be replaced.
///
/// It is written before its replacement: if that is refused, the archive has a copy too many, but no version
/// in between is missing. A failure is logged and does not stop the publish; a rollback to the version may
/// then fail.
pub(crate) async fn store(context: &Context, record: &ConfigRecord) {
    if let Err(err) = write(context, record).await {
        tracing::warn!("kv: version {} not archived: {err}", record.version);
    }
}

/// Returns the manifest of a version from memory or the archive, or `None` if neither has it.
///
/// # Errors
///
/// Fails if the archive can't be read.
pub(crate) async fn find_manifest(context: &Context, version: Version) -> Result<Option<Manifest>> {
    let known = context.node.read(|state| {
        let mut records = state.older_configs.iter().chain(&state.config);
        records.find(|record| record.version == version).map(Arc::clone)
    });
    if let Some(record) = known {
        return Ok(Some(record.manifest.clone()));
    }
    let Some(entry) = record_reachability(context, context.key_value.get(&key(version)).await)? else {
        return Ok(None);
    };
    let record: ConfigRecord = serde_json::from_slice(&entry.value)?;
    Ok((record.version == version).then_some(record.manifest))
}

async fn write(context: &Context, record: &ConfigRecord) -> Result<()> {
    let (key, value) = (key(record.version), serde_json::to_vec(record)?);
    let outcome = record_reachability(
        context,
        context.key_value.put_if(&key, Precondition::Absent, &value, None).await,
    )?;
    let WriteOutcome::Conflict(Some(entry)) = outcome else {
        return Ok(());
    };
    let stored = serde_json::from_slice::<ConfigRecord>(&entry.value);
    if stored.is_ok_and(|stored| stored.version >= record.version) {
        return Ok(());
    }
    let precondition = Precondition::Revision(entry.revision);
    record_reachability(context, context.key_value.put_if(&key, precondition, &value, None).await)?;
    Ok(())
}

fn key(version: Version) -> String {
    format!("archive/manifest/{:02}", version.0 % SLOT_COUNT)
}
