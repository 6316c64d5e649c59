use std::time::Duration;

use carobwick_core::ServiceId;
use carobwick_core::Time;
use carobwick_core::gateway::SoftwareVersion;
use carobwick_core::gateway::StreamKey;
use carobwick_core::gateway::VersionBinding;
use carobwick_core::gateway::VersionCount;
use carobwick_runtime::now;
use tokio::time::timeout;

use crate::proxied_request::ProxiedRequest;
use crate::state::State;

/// Time for which a request waits for a message of the leader on the stream that it takes up: the instance that began
/// the stream may have told the leader only just now.
const ORIGIN_WAIT: Duration = Duration::from_millis(300);
/// Time for which it waits without a list that was read since it came, or without a leader to which all instances had time
/// to connect; a new one is there within 4 s, and the instances tell it what they know.
const UNSETTLED_WAIT: Duration = Duration::from_secs(4);
/// Interval at which the wait looks at the connections to the leader, and asks again for a read of the list.
const SETTLED_POLL: Duration = Duration::from_millis(100);

/// Whether a request that takes a stream up again may be sent.
pub(crate) enum TakeUpStep {
    /// It may be sent to the endpoints that its binding allows.
    Send,
    /// No instance knows the version that began the stream, and several serve.
    Refuse,
}

/// What an instance knows of the version that began a stream.
enum KnownOrigin {
    /// This version is on record for it.
    Recorded(SoftwareVersion),
    /// This version is on record for it, and no endpoint of it in the list of endpoints, which may be old.
    Unlisted(SoftwareVersion),
    /// Only this version can have begun it. Another one may come before the request is sent.
    Only(SoftwareVersion),
    /// Endpoints name no version, or none has served lately.
    Unnamed,
    /// Several versions may have begun it.
    Unknown,
    /// Other instances may know versions that this one does not.
    Unconfirmed,
}

impl State {
    /// Returns what this instance knows of the version that began a stream which its caller takes up at `asked`.
    ///
    /// Each instance sends streams to a version as soon as it has read of it, and may end before it has told another one.
    /// So this instance knows all versions that can have begun the stream only from a list that it has read since, and from
    /// those that have served in the last minute.
    fn known_origin(&self, key: StreamKey, service: &ServiceId, asked: Time) -> KnownOrigin {
        let is_current = self.is_list_read_since(asked);
        let endpoints = self.endpoints.borrow();
        if let Some(version) = self.streams.borrow().version(key, now()) {
            let is_listed = endpoints.live(service).any(|entry| entry.version.as_ref() == Some(version));
            let known = if is_listed || is_current { KnownOrigin::Recorded } else { KnownOrigin::Unlisted };
            return known(version.clone());
        }
        match endpoints.version_count(service, now()) {
            VersionCount::Several => KnownOrigin::Unknown,
            _ if !is_current || !self.knows_history() => KnownOrigin::Unconfirmed,
            VersionCount::One(Some(version)) => KnownOrigin::Only(version.clone()),
            VersionCount::One(None) | VersionCount::None => KnownOrigin::Unnamed,
        }
    }
}

impl ProxiedRequest {
    /// Binds a request that takes a stream up to the version that began the stream.
    pub async fn bind_version(&mut self) -> TakeUpStep {
        if !self.route.resumable || self.head.resumes.is_none() && self.head.last_event.is_none() {
            return TakeUpStep::Send;
        }
        let (request, key) = (self.head.attempt_id.clone(), self.stream_key());
        let (state, started) = (self.state.clone(), now());
        let (mut settled_since, mut is_asked) = (None, false);
        loop {
            let changed = state.streams_changed.notified();
            let wait = match state.known_origin(key, &self.service, started) {
                KnownOrigin::Recorded(version) => return self.bind_recorded(version),
                KnownOrigin::Unlisted(version) => {
                    let wait = self.origin_wait(started, Some(started));
                    if wait.is_zero() {
                        return self.bind_recorded(version);
                    }
                    state.list_requested.notify_one();
                    wait
                }
                KnownOrigin::Only(version) => {
                    tracing::info!("gateway: request {request} takes up a stream, only {version} serves");
                    self.bind_to(Some(version));
                    return TakeUpStep::Send;
                }
                KnownOrigin::Unnamed => {
                    tracing::info!("gateway: request {request} takes up a stream, no version is named");
                    return TakeUpStep::Send;
                }
                KnownOrigin::Unknown => {
                    is_asked = state.has_leader() && (is_asked || state.want_stream(key));
                    let is_settled = state.is_settled();
                    settled_since = settled_since.filter(|_| is_settled).or(is_settled.then(now));
                    self.origin_wait(started, settled_since)
                }
                KnownOrigin::Unconfirmed => {
                    state.list_requested.notify_one();
                    self.origin_wait(started, None)
                }
            };
            if wait.is_zero() {
                return TakeUpStep::Refuse;
            }
            let _elapsed = timeout(wait.min(SETTLED_POLL), changed).await;
        }
    }

    fn bind_recorded(&mut self, version: SoftwareVersion) -> TakeUpStep {
        tracing::info!("gateway: request {} takes up a stream that {version} began", self.head.attempt_id);
        self.binding = VersionBinding::Version(version);
        TakeUpStep::Send
    }

    /// Returns how much longer to wait for the version that began a stream.
    fn origin_wait(&self, started: Time, settled_since: Option<Time>) -> Duration {
        let (since, wait) = match settled_since {
            Some(since) => (since, ORIGIN_WAIT),
            None => (started, UNSETTLED_WAIT),
        };
        let patience = (self.deadline - started) / 2;
        let remaining = patience.saturating_sub(now() - started);
        wait.saturating_sub(now() - since).min(remaining)
    }
}
