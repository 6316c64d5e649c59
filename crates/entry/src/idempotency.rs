use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carobwick_core::CallerId;
use carobwick_core::IdempotencyEvent;
use carobwick_core::IdempotencyRecord;
use carobwick_core::IdempotencyRefusal;
use carobwick_core::IdempotencyStep;
use carobwick_core::KeyedRequest;
use carobwick_core::StoredResponse;
use carobwick_runtime::Error;
use carobwick_runtime::KeyValueClient;
use carobwick_runtime::KvEntry;
use carobwick_runtime::LeaseId;
use carobwick_runtime::Precondition;
use carobwick_runtime::WriteOutcome;
use carobwick_runtime::wall_ms;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

use crate::refusal::Code;
use crate::refusal::Refusal;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Records of one hour share a lease, so that leases add almost nothing to the two writes of each record.
const LEASE_REUSE_PERIOD: Duration = Duration::from_hours(1);
/// Keeps even the last record on a lease for 24 h.
const LEASE_TTL: Duration = Duration::from_hours(25);
/// Time after a failed call in which requests are refused at once, without a call.
const UNAVAILABLE_PAUSE: Duration = Duration::from_millis(500);

/// Store of idempotency records in the key-value service.
#[derive(Debug)]
pub(crate) struct IdempotencyStore {
    kv: KeyValueClient,
    lease: tokio::sync::Mutex<Option<(LeaseId, Instant)>>,
    limiter: Mutex<RateLimiter>,
}

/// What to do with a request that has an idempotency key.
#[derive(Debug)]
pub(crate) enum StartOutcome {
    /// Run it, then finish its record.
    Run,
    /// Return this response of an earlier run.
    Replay(StoredResponse),
    /// Refuse it without running it.
    Refuse(IdempotencyRefusal),
}

/// Token bucket for requests with an idempotency key, each of which costs two writes.
#[derive(Debug)]
struct RateLimiter {
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
    paused_until: Option<Instant>,
}

impl IdempotencyStore {
    pub fn open(url: &str, rate: u32) -> Self {
        let rate = f64::from(rate);
        let limiter = RateLimiter { rate, tokens: rate, refilled_at: Instant::now(), paused_until: None };
        Self {
            kv: KeyValueClient::open(url, CALL_TIMEOUT),
            lease: tokio::sync::Mutex::default(),
            limiter: Mutex::new(limiter),
        }
    }

    /// Admits a request with an idempotency key, or refuses it above the rate or shortly after a failed call.
    pub fn admit(&self) -> Result<(), Refusal> {
        let mut limiter = self.limiter();
        let now = Instant::now();
        if limiter.paused_until.is_some_and(|until| now < until) {
            return Err(IdempotencyRefusal::Unavailable.into());
        }
        limiter.tokens =
            (limiter.tokens + (now - limiter.refilled_at).as_secs_f64() * limiter.rate).min(limiter.rate);
        limiter.refilled_at = now;
        if limiter.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - limiter.tokens) / limiter.rate);
            return Err(
                Refusal::new(Code::IdempotencyRate, "too many requests with a key").with_retry_after(wait)
            );
        }
        limiter.tokens -= 1.0;
        Ok(())
    }

    /// Creates the record of a request unless one exists, and returns what to do with the request.
    pub async fn start(&self, keyed_request: &mut KeyedRequest, key: &str) -> StartOutcome {
        let mut event = IdempotencyEvent::Arrived;
        loop {
            match keyed_request.on_event(event, wall_ms()) {
                IdempotencyStep::Run => return StartOutcome::Run,
                IdempotencyStep::Replay(response) => return StartOutcome::Replay(response),
                IdempotencyStep::Refuse(refusal) => {
                    if refusal == IdempotencyRefusal::Unavailable {
                        self.limiter().paused_until = Some(Instant::now() + UNAVAILABLE_PAUSE);
                    }
                    return StartOutcome::Refuse(refusal);
                }
                IdempotencyStep::Wait | IdempotencyStep::Close => {
                    return StartOutcome::Refuse(IdempotencyRefusal::Unavailable);
                }
                step => event = self.perform(key, step).await,
            }
        }
    }

    /// Writes the outcome of a request that ran or was abandoned to its record.
    pub async fn finish_record(
        &self,
        keyed_request: &mut KeyedRequest,
        key: &str,
        outcome: IdempotencyEvent,
    ) {
        let mut event = outcome;
        loop {
            match keyed_request.on_event(event, wall_ms()) {
                IdempotencyStep::Wait | IdempotencyStep::Close => return,
                step => event = self.perform(key, step).await,
            }
        }
    }

    async fn perform(&self, key: &str, step: IdempotencyStep) -> IdempotencyEvent {
        match step {
            IdempotencyStep::Create(record) => self.write(key, Precondition::Absent, &record).await,
            IdempotencyStep::Complete(record, revision) => {
                self.write(key, Precondition::Revision(revision), &record).await
            }
            IdempotencyStep::Delete(revision) => {
                self.write_event(self.kv.delete_if(key, Precondition::Revision(revision)).await).await
            }
            IdempotencyStep::ReadBack => match self.kv.get(key).await {
                Ok(found) => record_event(found, IdempotencyEvent::Read),
                Err(_) => IdempotencyEvent::ReplyLost,
            },
            _ => IdempotencyEvent::Unavailable,
        }
    }

    async fn write(
        &self,
        key: &str,
        precondition: Precondition,
        record: &IdempotencyRecord,
    ) -> IdempotencyEvent {
        let (Ok(lease), Ok(value)) = (self.lease().await, record.encode()) else {
            return IdempotencyEvent::Unavailable;
        };
        self.write_event(self.kv.put_if(key, precondition, &value, Some(lease)).await).await
    }

    async fn write_event(&self, result: carobwick_runtime::Result<WriteOutcome>) -> IdempotencyEvent {
        match result {
            Ok(WriteOutcome::Written(revision)) => IdempotencyEvent::Written(revision),
            Ok(WriteOutcome::Conflict(found)) => record_event(found, IdempotencyEvent::Conflict),
            Err(err) => {
                tracing::warn!("entry: write of an idempotency record failed: {err}");
                match err {
                    Error::Status(status, _) if status < 500 => {
                        // The lease may have expired; the next write requests a new one.
                        *self.lease.lock().await = None;
                        IdempotencyEvent::Unavailable
                    }
                    Error::Connect(_) | Error::Local(_) => IdempotencyEvent::Unavailable,
                    Error::Lost(_) | Error::Status(..) | Error::Codec(_) => IdempotencyEvent::ReplyLost,
                }
            }
        }
    }

    async fn lease(&self) -> carobwick_runtime::Result<LeaseId> {
        let mut current = self.lease.lock().await;
        if let Some((lease, since)) = *current
            && since.elapsed() < LEASE_REUSE_PERIOD
        {
            return Ok(lease);
        }
        let since = Instant::now();
        let lease = self.kv.grant(LEASE_TTL).await?;
        *current = Some((lease, since));
        Ok(lease)
    }

    fn limiter(&self) -> MutexGuard<'_, RateLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the name under which the record of a caller's idempotency key is stored.
pub(crate) fn record_key(caller: &CallerId, key: &str) -> String {
    format!("once/{:032x}", xxh3_128(format!("{caller}\n{key}").as_bytes()))
}

fn record_event(
    found: Option<KvEntry>,
    event: impl Fn(Option<(IdempotencyRecord, u64)>) -> IdempotencyEvent,
) -> IdempotencyEvent {
    let Some(entry) = found else {
        return event(None);
    };
    match IdempotencyRecord::decode(&entry.value) {
        Ok(record) => event(Some((record, entry.revision))),
        Err(err) => {
            tracing::warn!("entry: {} is not an idempotency record: {err}", entry.key);
            IdempotencyEvent::Unavailable
        }
    }
}
