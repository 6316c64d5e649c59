use std::time::Duration;

use carobwick_core::Millis;
use carobwick_core::ServiceId;
use carobwick_core::Time;
use carobwick_core::gateway::SoftwareVersion;
use carobwick_core::gateway::StreamKey;
use carobwick_core::gateway::StreamOrigin;
use carobwick_core::gateway::VersionBinding;
use carobwick_core::gateway::VersionCount;
use carobwick_runtime::now;
use tokio::time::timeout;

use crate::message::FollowerMessage;
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
    /// Only this version can have begun it. Another one may come before the request is sent.
    Only(SoftwareVersion),
    /// Endpoints name no version, or none has served lately.
    Unnamed,
    /// Several versions may have begun it.
    Unknown,
    /// Other instances may know versions that this one does not.
    Unconfirmed,
}

/// Streams that callers may take up at any instance.
impl State {
    /// Returns whether endpoints of several software versions serve, or have served while a stream may have begun.
    pub fn has_several_versions(&self, service: &ServiceId) -> bool {
        self.endpoints.borrow().version_count(service, now()) == VersionCount::Several
    }

    /// Records a stream that this instance has begun, and tells the leader if other versions serve.
    pub fn record_stream(&self, origin: StreamOrigin) {
        let service = origin.service.clone();
        self.streams.borrow_mut().record_begun(origin, now());
        if self.has_several_versions(&service) {
            self.share_streams_of(&service);
        }
    }

    /// Records streams that other instances have begun; returns those that were not known.
    pub fn receive_streams(&self, origins: Vec<StreamOrigin>) -> Vec<StreamOrigin> {
        let mut streams = self.streams.borrow_mut();
        let is_new = |origin: &StreamOrigin| streams.record_shared(origin.clone(), now());
        let new: Vec<StreamOrigin> = origins.into_iter().filter(is_new).collect();
        drop(streams);
        if !new.is_empty() {
            self.streams_changed.notify_waiters();
        }
        new
    }

    /// Tells the leader of the streams that began before endpoints of a second version were known.
    pub fn share_streams(&self) {
        let services = self.endpoints.borrow().services_with_several_versions(now());
        for service in services {
            self.share_streams_of(&service);
        }
    }

    fn share_streams_of(&self, service: &ServiceId) {
        if !self.has_leader() {
            return;
        }
        let streams = self.streams.borrow_mut().take_unshared(service, now());
        if !streams.is_empty() {
            self.send_to_leader(FollowerMessage::streams(streams));
        }
    }

    /// Returns what this instance knows of the version that began a stream which its caller takes up at `asked`.
    ///
    /// Each instance sends streams to a version as soon as it has read of it, and may end before it has told another one.
    /// So this instance knows all versions that can have begun the stream only from a list that it has read since.
    fn known_origin(&self, key: StreamKey, service: &ServiceId, asked: Time) -> KnownOrigin {
        if let Some(version) = self.streams.borrow().version(key, now()) {
            return KnownOrigin::Recorded(version.clone());
        }
        match self.endpoints.borrow().version_count(service, now()) {
            VersionCount::Several => KnownOrigin::Unknown,
            _ if !self.is_list_read_since(asked) => KnownOrigin::Unconfirmed,
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
        let mut settled_since = None;
        loop {
            let changed = state.streams_changed.notified();
            let is_confirmed = match state.known_origin(key, &self.service, started) {
                KnownOrigin::Recorded(version) => {
                    tracing::info!("gateway: request {request} takes up a stream that {version} began");
                    self.binding = VersionBinding::Version(version);
                    return TakeUpStep::Send;
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
                KnownOrigin::Unknown => true,
                KnownOrigin::Unconfirmed => {
                    state.list_requested.notify_one();
                    false
                }
            };
            let is_settled = is_confirmed && state.is_settled();
            settled_since = settled_since.filter(|_| is_settled).or(is_settled.then(now));
            let wait = self.origin_wait(started, settled_since);
            if wait.is_zero() {
                return TakeUpStep::Refuse;
            }
            let _elapsed = timeout(wait.min(SETTLED_POLL), changed).await;
        }
    }

    /// Binds the stream to the version that has written its first event, and records it.
    pub fn bind_to(&mut self, version: Option<SoftwareVersion>) {
        if self.binding != VersionBinding::Any {
            return;
        }
        if let Some(version) = &version {
            let lifetime = self.head.deadline.map_or(Duration::MAX, Millis::duration);
            let remaining = lifetime.saturating_sub(now() - self.arrived);
            self.state.record_stream(StreamOrigin {
                key: self.stream_key(),
                service: self.service.clone(),
                version: version.clone(),
                remaining: Millis(u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX)),
            });
        }
        self.binding = VersionBinding::of(version);
    }

    /// Returns the key by which the stream of this request is taken up.
    fn stream_key(&self) -> StreamKey {
        StreamKey::new(self.head.resumes.as_ref().unwrap_or(&self.head.attempt_id))
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
