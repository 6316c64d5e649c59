use std::fmt;
use std::time::Duration;

use carobwick_derive::data;
use carobwick_derive::key;
use indexmap::IndexMap;
use indexmap::IndexSet;
use indexmap::map::Entry;

use crate::EndpointId;
use crate::Fingerprint;
use crate::Incarnation;
use crate::Millis;
use crate::Time;
use crate::gateway::PartId;

/// Number of endpoint incarnations that end during requests with one suspect before it can be convicted.
///
/// Two can be a coincidence while several endpoints fail.
const CONVICTION_THRESHOLD: usize = 3;
/// Number of incarnations from which on a part of a prompt is suspected, and other instances are told of a request.
const SUSPICION_THRESHOLD: usize = 2;
/// Time since the last loss after which a suspect that was not tried is forgotten, and a conviction ends.
const LOSS_LIFETIME: Duration = Duration::from_mins(2);
/// Time since the last loss after which a part that was convicted is forgotten. Until then it is suspected again,
/// so that one trial decides instead of a series of crashes.
const RECORD_LIFETIME: Duration = Duration::from_mins(10);
/// Time within which losses of several endpoints count as one failure, such as that of a network or a zone.
const COMMON_FAILURE_TIME: Duration = Duration::from_secs(1);
/// Number of other endpoints lost within [`COMMON_FAILURE_TIME`] at which the loss of a trial is no evidence: its request
/// is taken to be lost for the same reason.
const COMMON_FAILURE_THRESHOLD: usize = 2;
/// Most suspects that are kept, since callers choose the parts of their prompts.
const MAX_SUSPECTS: usize = 4_096;

/// Property of requests that may be the reason why endpoints end.
#[key]
#[derive(Copy)]
pub enum Suspect {
    /// Path and body.
    Request(Fingerprint),
    /// A part of the prompt that other requests may share.
    Part(PartId),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => write!(f, "request {fingerprint}"),
            Self::Part(part) => write!(f, "part {part}"),
        }
    }
}

/// Loss of an endpoint while it processed requests with some suspects.
#[data]
pub struct Loss {
    /// What the requests had in common with others.
    pub suspects: Vec<Suspect>,
    /// Endpoint that was lost.
    pub endpoint: EndpointId,
    /// Incarnation that was lost.
    pub incarnation: Incarnation,
    /// Whether the request ran as a trial, that is after its parts had come under suspicion.
    pub trial: bool,
    /// Time since the loss.
    pub age: Millis,
}

/// A suspect that must be refused, with the losses that say so.
#[data]
pub struct Conviction {
    /// What the requests have in common.
    pub suspect: Suspect,
    /// Losses of endpoints.
    pub losses: Vec<Loss>,
    /// Time until the losses are forgotten.
    pub lifetime: Millis,
}

/// What is known of a request with some suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// It may be sent.
    Clear,
    /// It may be sent as a trial, one at a time for each of its suspects.
    Suspected,
    /// It must be refused.
    Convicted,
}

/// Requests and parts of prompts during which endpoints were lost.
///
/// A whole request is convicted by three losses. A part of a prompt is convicted by three losses of which the
/// last was a trial, since requests share parts and several endpoints can fail at once. Parts that always come
/// together can't be told apart; a request is then refused only if it has all of them, so that one with fewer
/// can clear its own.
#[derive(Debug, Default)]
pub struct SuspectTable {
    losses: IndexMap<Suspect, Losses>,
}

#[derive(Debug, Default)]
struct Losses {
    /// Endpoints that were lost, each with the time of the loss.
    incarnations: IndexMap<(EndpointId, Incarnation), Time>,
    last: Time,
    /// Whether an endpoint was lost during a trial.
    tried: bool,
}

impl SuspectTable {
    /// Records a loss; returns whether it was not known before.
    pub fn record_loss(&mut self, loss: &Loss, now: Time) -> bool {
        self.losses.retain(|_, losses| now < losses.expiry());
        let at = now - loss.age.duration();
        // A loss with an age comes from another table, which has judged it.
        let is_judged = loss.age > Millis(0);
        let is_trial = loss.trial && (is_judged || !self.is_common_failure(loss, at));
        let mut is_new = false;
        for suspect in &loss.suspects {
            self.make_room(suspect);
            let losses = self.losses.entry(*suspect).or_default();
            let entry = losses.incarnations.entry((loss.endpoint.clone(), loss.incarnation));
            is_new |= matches!(entry, Entry::Vacant(_));
            entry.or_insert(at);
            is_new |= is_trial && !losses.tried;
            losses.tried |= is_trial;
            losses.last = losses.last.max(at);
        }
        is_new
    }

    /// Returns whether other endpoints were lost at about the time of a loss, during requests that had none of its suspects.
    ///
    /// Requests beside a crashing one are lost on the same endpoints as it; a failure of a zone takes others too.
    fn is_common_failure(&self, loss: &Loss, at: Time) -> bool {
        let own = loss.suspects.iter().filter_map(|suspect| self.losses.get(suspect));
        let own: IndexSet<&(EndpointId, Incarnation)> =
            own.flat_map(|losses| losses.incarnations.keys()).collect();
        let is_recent = |time: Time| time + COMMON_FAILURE_TIME > at && at + COMMON_FAILURE_TIME > time;
        let others = self
            .losses
            .iter()
            .filter(|(suspect, _)| matches!(suspect, Suspect::Part(_)) && !loss.suspects.contains(suspect));
        let recent =
            others.flat_map(|(_, losses)| &losses.incarnations).filter(|(_, time)| is_recent(**time));
        let recent: IndexSet<_> = recent.map(|(endpoint, _)| endpoint).collect();
        let is_same = |endpoint: &(EndpointId, Incarnation)| {
            own.contains(endpoint) || (&endpoint.0, endpoint.1) == (&loss.endpoint, loss.incarnation)
        };
        recent.into_iter().filter(|endpoint| !is_same(endpoint)).count() >= COMMON_FAILURE_THRESHOLD
    }

    /// Clears a suspect, with which a request succeeded or began to; returns whether it was known.
    pub fn clear(&mut self, suspect: Suspect) -> bool {
        !self.losses.is_empty() && self.losses.swap_remove(&suspect).is_some()
    }

    /// Returns the verdict on a request with the given suspects.
    pub fn verdict(&self, suspects: &[Suspect], now: Time) -> Verdict {
        if self.losses.is_empty() {
            return Verdict::Clear;
        }
        let verdicts = suspects.iter().map(|suspect| self.verdict_on(*suspect, suspects, now));
        verdicts.max().unwrap_or(Verdict::Clear)
    }

    /// Returns the losses that an instance has to know to come to the same verdicts.
    ///
    /// Requests with a single loss are left out: when an endpoint fails, each request that it had in flight is one.
    pub fn losses_to_share(&self, now: Time) -> Vec<Loss> {
        let is_shared = |(suspect, losses): &(&Suspect, &Losses)| {
            let least = match suspect {
                Suspect::Request(_) => SUSPICION_THRESHOLD,
                Suspect::Part(_) => 1,
            };
            losses.incarnations.len() >= least && now < losses.expiry()
        };
        let entries = self.losses.iter().filter(is_shared);
        entries.flat_map(|(suspect, losses)| losses.to_messages(*suspect, now)).collect()
    }

    /// Returns the conviction of a suspect, or none if it is not convicted.
    pub fn conviction(&self, suspect: Suspect, now: Time) -> Option<Conviction> {
        if self.verdict(&[suspect], now) != Verdict::Convicted {
            return None;
        }
        let losses = self.losses.get(&suspect)?;
        let lifetime = Millis((losses.expiry() - now).as_millis() as u64);
        Some(Conviction { suspect, losses: losses.to_messages(suspect, now).collect(), lifetime })
    }

    fn verdict_on(&self, suspect: Suspect, all: &[Suspect], now: Time) -> Verdict {
        let known = self.losses.get(&suspect).filter(|losses| now < losses.expiry());
        let Some(losses) = known else { return Verdict::Clear };
        let count = losses.incarnations.len();
        let may_convict = count >= CONVICTION_THRESHOLD && now < losses.last + LOSS_LIFETIME;
        match suspect {
            Suspect::Request(_) if may_convict => Verdict::Convicted,
            Suspect::Part(_) if may_convict && losses.tried && !self.is_explained(losses, all, now) => {
                Verdict::Convicted
            }
            Suspect::Part(_) if count >= SUSPICION_THRESHOLD => Verdict::Suspected,
            Suspect::Request(_) | Suspect::Part(_) => Verdict::Clear,
        }
    }

    /// Returns whether a part that is not among those of the request was lost in all of these cases too.
    fn is_explained(&self, losses: &Losses, all: &[Suspect], now: Time) -> bool {
        self.losses.iter().any(|(other, others)| {
            matches!(other, Suspect::Part(_))
                && now < others.expiry()
                && !all.contains(other)
                && losses.incarnations.keys().all(|lost| others.incarnations.contains_key(lost))
        })
    }

    /// Removes a suspect if the table is full: one with the fewest losses, of these the oldest.
    fn make_room(&mut self, suspect: &Suspect) {
        if self.losses.len() < MAX_SUSPECTS || self.losses.contains_key(suspect) {
            return;
        }
        let weight = |losses: &Losses| (losses.incarnations.len(), losses.last);
        let least = self.losses.iter().min_by_key(|(_, losses)| weight(losses));
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.losses.swap_remove(&suspect);
        }
    }
}

impl Losses {
    fn expiry(&self) -> Time {
        self.last + if self.tried { RECORD_LIFETIME } else { LOSS_LIFETIME }
    }

    fn to_messages(&self, suspect: Suspect, now: Time) -> impl Iterator<Item = Loss> {
        let age = Millis((now - self.last).as_millis() as u64);
        self.incarnations.keys().map(move |(endpoint, incarnation)| Loss {
            suspects: vec![suspect],
            endpoint: endpoint.clone(),
            incarnation: *incarnation,
            trial: self.tried,
            age,
        })
    }
}
