use std::time::Duration;

use carobwick_core::gateway::VERSION_MEMORY;
use carobwick_runtime::now;
use tokio::sync::mpsc;

use crate::message::FollowerMessage;
use crate::peers::SILENCE_TIMEOUT;
use crate::state::State;

/// Time for which an instance that has started waits for a leader before it is ready. Until it has one, the others do not
/// know the streams that it begins.
const JOIN_WAIT: Duration = Duration::from_secs(1);

/// The connection to the leader, and what this instance knows of the others by it.
impl State {
    /// Returns whether this instance has started just now and is not connected to a leader yet.
    pub fn is_joining(&self) -> bool {
        let is_over = |known| now() >= known + JOIN_WAIT;
        !self.has_joined.get() && !self.list_known.get().is_some_and(is_over)
    }

    /// Sets the channel for messages to the leader, or none without a connection to it.
    pub fn set_leader_sender(&self, sender: Option<mpsc::UnboundedSender<FollowerMessage>>) {
        self.has_joined.set(self.has_joined.get() || sender.is_some());
        self.leader_confirms.set(true);
        *self.leader_sender.borrow_mut() = sender;
        self.quotas.borrow_mut().discard_unreported(now());
        self.settled.set(None);
        self.token_requests.clear();
        self.trial_requests.clear();
        self.balancer.borrow_mut().reset_shares(now());
        self.endpoints_changed.notify_waiters();
    }

    /// Returns whether there is a connection to the leader.
    pub fn has_leader(&self) -> bool {
        self.leader_sender.borrow().is_some()
    }

    /// Sends a message to the leader; returns whether there is one.
    pub fn send_to_leader(&self, message: FollowerMessage) -> bool {
        let leader = self.leader_sender.borrow();
        leader.as_ref().is_some_and(|leader| leader.send(message).is_ok())
    }

    /// Sets whether there is a leader to which all instances had time to connect, by a heartbeat that has come just now.
    /// They have told it of their streams then, and those of instances that ended before have few callers left.
    pub fn set_settled(&self, is_settled: bool) {
        self.settled.set(is_settled.then(now));
        if is_settled {
            self.set_history_known();
        }
    }

    /// Returns whether there is a leader to which all instances had time to connect. A process that was suspended has not
    /// noticed yet that its connection to the leader has ended.
    pub fn is_settled(&self) -> bool {
        self.settled.get().is_some_and(|at| now() - at < SILENCE_TIMEOUT)
    }

    /// Records that this instance knows which versions have served in the last minute.
    pub fn set_history_known(&self) {
        self.history_known.set(true);
    }

    /// Returns whether this instance knows which versions have served in the last minute.
    pub fn knows_history(&self) -> bool {
        let is_past = |known| now() >= known + VERSION_MEMORY;
        self.history_known.get() || self.list_known.get().is_some_and(is_past)
    }
}
