use carobwick_core::InstanceId;
use carobwick_core::Millis;
use carobwick_core::gateway::Loss;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::Verdict;
use carobwick_runtime::now;

use crate::coordinator::Coordinator;
use crate::message::LeaderMessage;

/// Parts of prompts under suspicion, of which the leader lets one request at a time run.
impl Coordinator {
    /// Handles the loss of an endpoint that an instance reports.
    pub(super) fn handle_suspects_lost(&self, from: &InstanceId, loss: Loss) {
        let is_own = *from == self.state.settings.instance;
        if self.state.receive_loss_report(&loss) || is_own {
            self.state.keep_convicted(&loss);
            self.broadcast_except(from, &LeaderMessage::SuspectsLost(loss));
        }
    }

    /// Handles suspects that an instance has cleared.
    pub(super) fn handle_suspects_cleared(&self, from: &InstanceId, suspects: Vec<Suspect>) {
        let is_own = *from == self.state.settings.instance;
        if self.state.receive_cleared(&suspects) || is_own {
            self.broadcast_except(from, &LeaderMessage::SuspectsCleared { suspects });
        }
    }

    /// Handles a request for a trial: at most one is in progress for each part.
    pub(super) fn handle_trial_request(&self, ticket: &Ticket, suspects: &[Suspect], remaining: Millis) {
        let end = now() + remaining.duration();
        let granted = match self.state.verdict(suspects) {
            Verdict::Clear | Verdict::Suspected => {
                self.trials.borrow_mut().try_start(suspects, ticket, end, now())
            }
            Verdict::Convicted => false,
        };
        tracing::info!("leader: trial of request {} of {}: {granted}", ticket.number, ticket.instance);
        self.send_to(&ticket.instance, LeaderMessage::Trial { number: ticket.number, granted });
    }
}
