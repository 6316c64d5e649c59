use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ConfigRecord;
use crate::Error;
use crate::Manifest;
use crate::Version;
use crate::WriteId;
use crate::ZoneId;
use crate::ZoneView;
use crate::capacity::check_change;

/// Number of failed calls that a publish retries; with calls of at most 1 s it fails after about 6 s.
const MAX_FAILURES: u32 = 4;
/// Largest value in bytes that the key-value service stores. A record contains the default values that a
/// manifest file can omit, so it can be larger than the file.
const MAX_RECORD_BYTES: usize = 1_000_000;
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Publishes a manifest by compare-and-swap, and reads it back after a lost reply.
///
/// The caller carries out each [`PublishStep`] and passes the result to [`Publish::next`].
#[derive(Debug, Clone)]
pub struct Publish {
    write_id: WriteId,
    content: Content,
    expect: Option<Version>,
    /// Last write, which may have taken effect.
    sent: Option<SentWrite>,
    failures: u32,
}

/// The record under `config/manifest` with the revision of its write.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfig {
    /// Revision of the write.
    pub revision: u64,
    /// The record.
    pub record: Arc<ConfigRecord>,
}

/// Outcome of a [`PublishStep`].
#[derive(Debug, Clone, PartialEq)]
pub enum PublishEvent {
    /// The record was read; `None` if there is none.
    Read(Option<StoredConfig>),
    /// The write took effect.
    Written,
    /// The record had another revision, so the write had no effect.
    Refused,
    /// The call had no effect.
    Failed,
    /// The reply was lost; the write may have taken effect or still take effect.
    Lost,
    /// The wait of [`PublishStep::Pause`] is over.
    Resumed,
}

/// Next action of the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishStep {
    /// Read the record.
    Read,
    /// Write the record if the key still has the expected revision, or if it is absent and none is expected.
    Write {
        /// Revision of the stored record; `None` if the key is absent.
        expect: Option<u64>,
        /// The record.
        record: Arc<ConfigRecord>,
        /// The record that this one follows.
        replaced: Option<Arc<ConfigRecord>>,
    },
    /// Wait before the next call.
    Pause(Duration),
    /// Finish with the outcome.
    Done(PublishOutcome),
}

/// Outcome of a publish.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The write took effect with this version; the newest record that was read is included.
    Accepted(Version, Arc<ConfigRecord>),
    /// The write had no effect, since another writer published first; the version in force is given.
    Conflict(Version),
    /// The manifest was refused for the given reason; nothing was written.
    Refused(String),
    /// Nothing was written, since the key-value service does not respond.
    Unavailable,
    /// It is unknown whether the write took effect, or it can no longer be found out.
    Unknown,
}

#[derive(Debug, Clone)]
enum Content {
    Manifest(Box<Manifest>),
    Rollback(Box<Manifest>),
}

#[derive(Debug, Clone)]
struct SentWrite {
    revision: Option<u64>,
    version: Option<Version>,
    record: Arc<ConfigRecord>,
}

impl Publish {
    /// Starts to publish a manifest; if `expect` is given, only onto that version.
    pub fn manifest(manifest: Manifest, write_id: WriteId, expect: Option<Version>) -> Self {
        Self::start(Content::Manifest(Box::new(manifest)), write_id, expect)
    }

    /// Starts to publish an older manifest under a new version.
    ///
    /// Models and adapters that only the current manifest declares are kept and marked `retiring`, since they
    /// may be in use.
    pub fn rollback(older: Manifest, write_id: WriteId) -> Self {
        Self::start(Content::Rollback(Box::new(older)), write_id, None)
    }

    /// Returns the identity of the write.
    pub fn write_id(&self) -> WriteId {
        self.write_id
    }

    /// Returns the next action after an event.
    ///
    /// `own` is the record in force at the caller. The new record follows `own` or the stored record,
    /// whichever has the higher version, so that versions don't restart at 1 if the key was lost.
    pub fn next(
        &mut self,
        event: PublishEvent,
        own: Option<&Arc<ConfigRecord>>,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
    ) -> PublishStep {
        match event {
            PublishEvent::Read(stored) => self.after_read(stored, own, views),
            PublishEvent::Written => match self.sent.take() {
                Some(base) => Self::accepted(base.record.version, base.record),
                None => PublishStep::Done(PublishOutcome::Unknown),
            },
            PublishEvent::Refused | PublishEvent::Resumed => PublishStep::Read,
            PublishEvent::Failed | PublishEvent::Lost => self.after_failure(),
        }
    }

    fn start(content: Content, write_id: WriteId, expect: Option<Version>) -> Self {
        Self { write_id, content, expect, sent: None, failures: 0 }
    }

    fn accepted(version: Version, newest: Arc<ConfigRecord>) -> PublishStep {
        PublishStep::Done(PublishOutcome::Accepted(version, newest))
    }

    fn after_failure(&mut self) -> PublishStep {
        self.failures += 1;
        if self.failures <= MAX_FAILURES {
            return PublishStep::Pause(INITIAL_BACKOFF * 2_u32.pow(self.failures - 1));
        }
        let outcome = if self.sent.is_some() { PublishOutcome::Unknown } else { PublishOutcome::Unavailable };
        PublishStep::Done(outcome)
    }

    fn after_read(
        &mut self,
        stored: Option<StoredConfig>,
        own: Option<&Arc<ConfigRecord>>,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
    ) -> PublishStep {
        let revision = stored.as_ref().map(|stored| stored.revision);
        let newest = stored.map(|stored| stored.record);
        if let Some(record) = &newest
            && let Some(version) = record.version_of(self.write_id)
        {
            return Self::accepted(version, Arc::clone(record));
        }
        if let Some(sent) = &self.sent {
            if sent.revision == revision {
                // The write has not taken effect yet. If the lost one still does, it is found by the same
                // write id.
                let record = Arc::clone(&sent.record);
                return PublishStep::Write { expect: revision, record, replaced: newest };
            }
            return PublishStep::Done(Self::superseded_outcome(sent, newest.as_deref()));
        }
        let base = match (newest, own) {
            (Some(stored), Some(own)) if own.version > stored.version => Some(Arc::clone(own)),
            (Some(stored), _) => Some(stored),
            (None, own) => own.cloned(),
        };
        match self.build(base.as_deref(), views) {
            Err(outcome) => PublishStep::Done(outcome),
            Ok(record) => {
                let record = Arc::new(record);
                let version = base.as_ref().map(|base| base.version);
                self.sent = Some(SentWrite { revision, version, record: Arc::clone(&record) });
                PublishStep::Write { expect: revision, record, replaced: base }
            }
        }
    }

    /// Returns the outcome if the key has another revision and the history does not contain the write that
    /// was sent.
    fn superseded_outcome(sent: &SentWrite, newest: Option<&ConfigRecord>) -> PublishOutcome {
        match newest {
            // If the history does not reach back to the write, the write may have been accepted and truncated
            // from it.
            Some(record) if sent.version.is_none_or(|version| record.has_history_since(version)) => {
                PublishOutcome::Conflict(record.version)
            }
            _ => PublishOutcome::Unknown,
        }
    }

    fn build(
        &self,
        base: Option<&ConfigRecord>,
        views: &IndexMap<ZoneId, Arc<ZoneView>>,
    ) -> Result<ConfigRecord, PublishOutcome> {
        if let Some(expect) = self.expect {
            let found = base.map_or(Version(0), |base| base.version);
            if found != expect {
                return Err(PublishOutcome::Conflict(found));
            }
        }
        let refuse = |err: Error| PublishOutcome::Refused(err.to_string());
        let previous = base.map(|base| &base.manifest);
        let manifest = match (&self.content, previous) {
            (Content::Rollback(older), Some(previous)) => retire_added(older, previous),
            (Content::Manifest(manifest) | Content::Rollback(manifest), _) => Manifest::clone(manifest),
        };
        check_change(previous, &manifest, views).map_err(refuse)?;
        let record = match base {
            None => ConfigRecord::first(manifest, self.write_id),
            Some(base) => base.following(manifest, self.write_id),
        };
        let record = record.map_err(refuse)?;
        let bytes = serde_json::to_vec(&record).map_err(|err| refuse(err.into()))?.len();
        if bytes > MAX_RECORD_BYTES {
            let text = format!(
                "the manifest takes {bytes} bytes as a record; the key-value service stores {MAX_RECORD_BYTES}"
            );
            return Err(PublishOutcome::Refused(text));
        }
        Ok(record)
    }
}

/// Returns `older` plus the models and adapters that only `current` declares, marked `retiring`.
fn retire_added(older: &Manifest, current: &Manifest) -> Manifest {
    let mut manifest = older.clone();
    for (id, spec) in &current.models {
        if !manifest.models.contains_key(id) && !manifest.adapters.contains_key(id) {
            manifest.models.insert(id.clone(), crate::ModelSpec { retiring: true, ..spec.clone() });
            let service = current.services.get(&spec.service);
            if let Some(service) = service
                && !manifest.services.contains_key(&spec.service)
            {
                manifest.services.insert(spec.service.clone(), service.clone());
            }
        }
    }
    for (id, spec) in &current.adapters {
        if !manifest.adapters.contains_key(id) && !manifest.models.contains_key(id) {
            manifest.adapters.insert(id.clone(), crate::AdapterSpec { retiring: true, ..spec.clone() });
        }
    }
    manifest
}
