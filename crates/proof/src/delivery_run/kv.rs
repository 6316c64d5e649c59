use carobwick_core::IdempotencyEvent;
use carobwick_core::IdempotencyRecord;
use indexmap::IndexMap;

/// Fake key-value service that stores idempotency records with their revisions.
#[derive(Debug, Default)]
pub(super) struct FakeKv {
    pub down: bool,
    records: IndexMap<u64, (IdempotencyRecord, u64)>,
    revision: u64,
}

/// A call to the key-value service: a key, the new record and the expected revision, as far as it needs them.
#[derive(Debug, Clone)]
pub(super) enum Call {
    Create(u64, IdempotencyRecord),
    Read(u64),
    Swap(u64, IdempotencyRecord, u64),
    Delete(u64, u64),
}

impl FakeKv {
    /// Carries out a call and returns its reply.
    pub fn call(&mut self, call: Call) -> IdempotencyEvent {
        match call {
            Call::Read(key) => IdempotencyEvent::Read(self.records.get(&key).cloned()),
            Call::Create(key, record) => match self.records.get(&key) {
                Some(found) => IdempotencyEvent::Conflict(Some(found.clone())),
                None => self.put(key, record),
            },
            Call::Swap(key, record, revision) => match self.records.get(&key) {
                Some((_, at)) if *at == revision => self.put(key, record),
                found => IdempotencyEvent::Conflict(found.cloned()),
            },
            Call::Delete(key, revision) => match self.records.get(&key) {
                Some((_, at)) if *at == revision => {
                    self.records.swap_remove(&key);
                    self.revision += 1;
                    IdempotencyEvent::Written(self.revision)
                }
                found => IdempotencyEvent::Conflict(found.cloned()),
            },
        }
    }

    fn put(&mut self, key: u64, record: IdempotencyRecord) -> IdempotencyEvent {
        self.revision += 1;
        self.records.insert(key, (record, self.revision));
        IdempotencyEvent::Written(self.revision)
    }
}
