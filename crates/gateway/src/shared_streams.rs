use std::time::Duration;

use carobwick_core::Millis;
use carobwick_core::ServiceId;
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

/// Longest time for which the first event of a stream is held until the leader knows which version began it. The leader
/// responds within milliseconds unless it is frozen or cut off.
const CONFIRM_WAIT: Duration = Duration::from_millis(100);

/// Streams that callers may take up at any instance.
impl State {
    /// Returns whether endpoints of several software versions serve, or have served while a stream may have begun.
    pub fn has_several_versions(&self, service: &ServiceId) -> bool {
        self.endpoints.borrow().version_count(service, now()) == VersionCount::Several
    }

    /// Records a stream that this instance has begun, and tells the leader if other versions serve.
    fn record_stream(&self, origin: StreamOrigin) {
        let service = origin.service.clone();
        self.streams.borrow_mut().record_begun(origin, now());
        if self.has_several_versions(&service) {
            self.share_streams_of(&service);
        }
    }

    /// Records streams of which the leader has told this instance.
    pub fn receive_streams(&self, origins: Vec<StreamOrigin>) {
        let mut streams = self.streams.borrow_mut();
        for origin in origins {
            streams.record_shared(origin, now());
        }
        drop(streams);
        self.streams_changed.notify_waiters();
    }

    /// Records streams that an instance has reported to this one, the leader; returns those of which the others must be told
    /// now.
    pub fn receive_reported(&self, origins: Vec<StreamOrigin>) -> Vec<StreamOrigin> {
        let mut streams = self.streams.borrow_mut();
        let mut urgent = Vec::new();
        for origin in origins {
            if !self.has_several_versions(&origin.service) {
                streams.record_reported(origin, now());
            } else if streams.record_shared(origin.clone(), now()) {
                urgent.push(origin);
            }
        }
        drop(streams);
        self.streams_changed.notify_waiters();
        urgent
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

    /// Asks the leader for what it knows of a stream; returns whether there is a leader.
    pub fn want_stream(&self, key: StreamKey) -> bool {
        self.send_to_leader(FollowerMessage::want_stream(key))
    }

    /// Records that the leader, or its followers if this instance leads, know these streams.
    pub fn confirm_streams(&self, keys: &[StreamKey]) {
        self.streams.borrow_mut().record_confirmed(keys);
        self.leader_confirms.set(true);
        self.streams_changed.notify_waiters();
    }

    /// Returns whether a confirmation of a stream may come soon.
    fn expects_confirmation(&self) -> bool {
        self.is_joining() || self.has_leader() && self.leader_confirms.get()
    }
}

impl ProxiedRequest {
    /// Binds the stream to the version that has written its first event, and records it. Returns whether it was not bound
    /// before.
    pub fn bind_to(&mut self, version: Option<SoftwareVersion>) -> bool {
        if self.binding != VersionBinding::Any {
            return false;
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
        true
    }

    /// Waits until another instance knows which version began the stream, if several may have.
    ///
    /// The caller can take the stream up once it has an event. If this instance ended then, and nobody else knew the
    /// version, the stream could go on nowhere.
    pub async fn wait_confirmed(&self) {
        let (state, started) = (&self.state, now());
        if !matches!(self.binding, VersionBinding::Version(_)) || !state.has_several_versions(&self.service) {
            return;
        }
        loop {
            let changed = state.streams_changed.notified();
            if state.streams.borrow().is_confirmed(self.stream_key()) || !state.expects_confirmation() {
                return;
            }
            let remaining = CONFIRM_WAIT.saturating_sub(now() - started);
            if timeout(remaining, changed).await.is_err() {
                tracing::info!("gateway: request {} begins a stream unconfirmed", self.head.attempt_id);
                // Later streams do not wait for a leader that does not respond, or is of the version before.
                state.leader_confirms.set(false);
                return;
            }
        }
    }

    /// Returns the key by which the stream of this request is taken up.
    pub fn stream_key(&self) -> StreamKey {
        StreamKey::new(self.head.resumes.as_ref().unwrap_or(&self.head.attempt_id))
    }
}
