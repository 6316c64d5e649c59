use indexmap::IndexMap;

use crate::Time;
use crate::gateway::Suspect;
use crate::gateway::Ticket;

/// Trials in progress: requests with suspected parts, of which one at a time runs for each part in the whole
/// system.
#[derive(Debug, Default)]
pub struct TrialTable {
    trials: IndexMap<Suspect, Trial>,
}

#[derive(Debug)]
struct Trial {
    ticket: Ticket,
    /// Time by which the request has begun or has been given up.
    end: Time,
}

impl TrialTable {
    /// Starts a trial that lasts until `end` at most; returns whether no trial of any of the suspects is in
    /// progress.
    pub fn try_start(&mut self, suspects: &[Suspect], ticket: &Ticket, end: Time, now: Time) -> bool {
        self.trials.retain(|_, trial| now < trial.end);
        let is_free = suspects.iter().all(|suspect| !self.trials.contains_key(suspect));
        if is_free {
            let trial = || Trial { ticket: ticket.clone(), end };
            self.trials.extend(suspects.iter().map(|suspect| (*suspect, trial())));
        }
        is_free
    }

    /// Ends the trial of a request.
    pub fn finish(&mut self, ticket: &Ticket) {
        self.trials.retain(|_, trial| trial.ticket != *ticket);
    }

    /// Ends all trials.
    pub fn clear(&mut self) {
        self.trials.clear();
    }
}
