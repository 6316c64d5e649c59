use std::rc::Rc;
use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_core::gateway::StreamKey;
use carobwick_core::gateway::StreamOrigin;
use carobwick_runtime::now;
use tokio::time::sleep;

use crate::coordinator::Coordinator;
use crate::message::LeaderMessage;

/// Time for which streams are gathered before the followers are told, for each follower: 5,000 messages per second at
/// most.
const GATHER_TIME: Duration = Duration::from_micros(200);

/// Streams that callers may take up at any instance.
impl Coordinator {
    /// Handles streams that an instance has begun, and confirms them if it asks for it. The others are told at once where
    /// several software versions serve, and otherwise with the first endpoint of a second one.
    pub(super) fn handle_streams(&self, from: &InstanceId, streams: Vec<StreamOrigin>, confirm: bool) {
        let is_own = *from == self.state.settings.instance;
        if confirm && !is_own {
            self.send_to(from, LeaderMessage::StreamsReceived { keys: keys(&streams) });
        }
        let new = if is_own { streams } else { self.state.receive_reported(streams) };
        if !new.is_empty() {
            self.new_streams.borrow_mut().extend(new);
            self.streams_changed.notify_one();
        }
    }

    /// Tells an instance what is known of streams that callers take up there.
    pub(super) fn send_streams(&self, to: &InstanceId, keys: &[StreamKey]) {
        let streams = self.state.streams.borrow();
        let known: Vec<StreamOrigin> = keys.iter().filter_map(|key| streams.origin(*key, now())).collect();
        drop(streams);
        if !known.is_empty() {
            self.send_to(to, LeaderMessage::streams(known));
        }
    }

    /// Tells the followers of new streams until the task is aborted.
    pub async fn share_streams(self: Rc<Self>) {
        loop {
            self.streams_changed.notified().await;
            let followers = self.followers.borrow().len() as u32;
            sleep(GATHER_TIME * followers).await;
            let streams = std::mem::take(&mut *self.new_streams.borrow_mut());
            let keys = keys(&streams);
            self.broadcast(&LeaderMessage::streams(streams));
            // The leader's own streams are known to others from here on.
            self.state.confirm_streams(&keys);
        }
    }
}

fn keys(streams: &[StreamOrigin]) -> Vec<StreamKey> {
    streams.iter().map(|origin| origin.key).collect()
}
