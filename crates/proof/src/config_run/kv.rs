use std::sync::Arc;

use carobwick_core::ConfigRecord;
use carobwick_core::DrainSet;
use carobwick_core::StoredConfig;
use carobwick_core::Time;

/// Fake key-value service with the two keys under `config/`.
#[derive(Debug, Default)]
pub(crate) struct FakeKv {
    revision: u64,
    config: Option<StoredConfig>,
    drains: Option<(u64, DrainSet)>,
    /// Accepted writes of the configuration, oldest first.
    pub history: Vec<Arc<ConfigRecord>>,
    /// Time until which calls fail.
    pub down_until: Time,
    /// Time until which calls are delayed, some of them beyond their timeout.
    pub slow_until: Time,
    /// Time until which watches miss changes.
    pub gap_until: Time,
    /// Number of further writes whose reply is lost.
    pub lose_replies: u32,
}

/// A call to the key-value service; a write names the revision that it expects.
#[derive(Debug, Clone)]
pub(crate) enum Call {
    ReadConfig,
    WriteConfig(Option<u64>, Arc<ConfigRecord>),
    ReadDrains,
    WriteDrains(Option<u64>, DrainSet),
    ReadAll,
}

/// Reply to a [`Call`].
#[derive(Debug, Clone)]
pub(crate) enum Reply {
    Config(Option<StoredConfig>),
    Drains(Option<(u64, DrainSet)>),
    All(Option<StoredConfig>, Option<(u64, DrainSet)>),
    Written,
    Refused,
    /// The call had no effect.
    Failed,
    /// There was no reply within the timeout, so the call may have taken effect.
    Lost,
}

impl FakeKv {
    /// Carries out a call and returns its reply and whether it wrote something.
    pub fn call(&mut self, call: Call) -> (Reply, bool) {
        match call {
            Call::ReadConfig => (Reply::Config(self.config.clone()), false),
            Call::ReadDrains => (Reply::Drains(self.drains.clone()), false),
            Call::ReadAll => (Reply::All(self.config.clone(), self.drains.clone()), false),
            Call::WriteConfig(expect, record) => {
                if expect != self.config.as_ref().map(|stored| stored.revision) {
                    return (Reply::Refused, false);
                }
                self.revision += 1;
                self.history.push(Arc::clone(&record));
                self.config = Some(StoredConfig { revision: self.revision, record });
                (Reply::Written, true)
            }
            Call::WriteDrains(expect, drains) => {
                if expect != self.drains.as_ref().map(|(revision, _)| *revision) {
                    return (Reply::Refused, false);
                }
                self.revision += 1;
                self.drains = Some((self.revision, drains));
                (Reply::Written, true)
            }
        }
    }

    pub fn config(&self) -> Option<&ConfigRecord> {
        self.config.as_ref().map(|stored| stored.record.as_ref())
    }

    pub fn drains(&self) -> DrainSet {
        self.drains.as_ref().map(|(_, drains)| drains.clone()).unwrap_or_default()
    }

    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }
}
