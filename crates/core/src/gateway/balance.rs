use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::EndpointId;
use crate::Incarnation;
use crate::LoadReport;
use crate::Time;
use crate::ZoneId;
use crate::breaker::Breaker;
use crate::breaker::Permission;
use crate::gateway::Call;
use crate::gateway::EndpointEntry;
use crate::gateway::LoadBoard;
use crate::gateway::SharedLoad;
use crate::gateway::reach::Reach;
use crate::gateway::rejection::Rejection;
use crate::load::EndpointLoad;
use crate::load::LoadSnapshot;
use crate::routing::weight;

/// Prefill tokens by which a running request delays the next one: it makes each step of the batch longer.
const RUNNING_TOKENS: f64 = 100.0;
/// Prefill tokens that a request to another zone is worth avoiding.
const ZONE_TOKENS: f64 = 1_000.0;
/// The same for plain services, as a part of their load.
const ZONE_LOAD: f64 = 0.25;
/// Weight of a new value in the moving averages.
const WEIGHT: f64 = 0.2;
/// Fixed part of the expected time to an answer, in tokens; it keeps short prompts from looking slow.
const BASE_TOKENS: f64 = 300.0;
/// Factor on the cost of an endpoint that fails all its requests.
const FAILURE_COST: f64 = 20.0;
/// Bounds of an endpoint's pace relative to the fastest one.
const MAX_PACE: f64 = 30.0;
/// Age from which an unanswered request says something about its endpoint's pace.
const LEAST_AGE: Duration = Duration::from_millis(50);
/// Parts of prompts remembered per endpoint.
const PARTS: usize = 512;
/// Choices that are compared at least; two random ones are enough to even out what nobody sees in time.
const LEAST_CHOICES: usize = 2;
/// Instances up to which all choices are compared, since each one sees most of the load itself.
const FEW_INSTANCES: usize = 8;
/// Time after which a part that was not used again is expected to have left the engine's memory.
const FORGOTTEN: Duration = Duration::from_mins(1);

/// Chooses the endpoint of each request, from what this instance sent and what the answers said.
#[derive(Debug)]
pub struct Balancer {
    zone: ZoneId,
    tallies: IndexMap<EndpointId, Tally>,
    next: u64,
    instances: usize,
    board: LoadBoard,
    reach: Reach,
}

/// The endpoint that runs a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Choice {
    /// The endpoint.
    pub id: EndpointId,
    /// Run of its process.
    pub run: Incarnation,
    /// Its address.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Estimated cost, in tokens of prefill or parts of the slots.
    pub cost: f64,
}

/// A request that was sent to an endpoint and has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// How a request ended at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It was answered whole.
    Good,
    /// The endpoint did not run it.
    Declined,
    /// The endpoint answered with a failure.
    Failed,
    /// It took no connection in time.
    Unreachable,
    /// The connection was refused or broke off.
    Lost,
    /// The caller left, or the outcome says nothing about the endpoint.
    Neutral,
}

/// What is known of one run of an endpoint.
#[derive(Debug)]
struct Tally {
    run: Incarnation,
    load: EndpointLoad,
    breaker: Breaker,
    /// Tokens of own requests without a first event.
    backlog: f64,
    /// Seconds to the first event per token of cost.
    pace: Option<f64>,
    failures: f64,
    parts: IndexMap<u64, Time>,
    open: IndexMap<Ticket, Open>,
    /// A pause that the endpoint asked for, until it has recovered.
    rejection: Option<Rejection>,
}

#[derive(Debug, Clone, Copy)]
struct Open {
    sent: Time,
    tokens: f64,
    expected: f64,
    mark: LoadSnapshot,
    answered: bool,
}

/// Estimate for one candidate.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    cost: f64,
    pace: Option<f64>,
    failures: f64,
    standing: Standing,
}

/// Which candidates go first; those of the best standing are compared by cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Sound,
    /// It or its zone took no connection a moment ago.
    Doubted,
    /// Its breaker lets one request through.
    Probe,
    Blocked,
    /// It asked for a pause.
    Rejecting,
}

impl Balancer {
    /// Starts with nothing known, in a zone.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            tallies: IndexMap::new(),
            next: 0,
            instances: 1,
            board: LoadBoard::default(),
            reach: Reach::default(),
        }
    }

    /// Sets how many instances send requests to the same endpoints.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances as usize;
    }

    /// Returns the loads that endpoints reported to this instance since the last call.
    pub fn take_loads(&mut self) -> Vec<SharedLoad> {
        self.board.take()
    }

    /// Takes a load that an endpoint reported to another instance.
    pub fn relayed(&mut self, id: &EndpointId, run: Incarnation, load: LoadReport, now: Time) {
        self.tally(id, run).load.update_relayed(load, now);
    }

    /// Returns the endpoint with the lowest estimated cost, and none if all are cut off by their breakers.
    ///
    /// With many instances a few endpoints, drawn at random for each request, are compared beside the home of its prompt:
    /// they all see the same loads late, and would send to the same endpoint.
    pub fn choose<'a>(
        &self,
        call: &Call,
        candidates: impl Iterator<Item = &'a EndpointEntry>,
        now: Time,
    ) -> Option<Choice> {
        let candidates: Vec<&EndpointEntry> = candidates.collect();
        let home = home_of(call, &candidates);
        let estimates: Vec<Estimate> =
            candidates.iter().map(|entry| self.estimate(call, entry, home == Some(&entry.id), now)).collect();
        let wanted = estimates.iter().map(|one| one.standing).min()?;
        if wanted >= Standing::Blocked {
            return None;
        }
        let fastest = estimates.iter().filter_map(|one| one.pace).fold(f64::INFINITY, f64::min);
        let steadiest = estimates.iter().map(|one| one.failures).fold(f64::INFINITY, f64::min);
        let rated = candidates.iter().zip(&estimates).filter(|(_, one)| one.standing == wanted);
        let rated: Vec<(&EndpointEntry, f64)> =
            rated.map(|(entry, one)| (*entry, one.rated(fastest, steadiest))).collect();
        let drawn = self.draw(call, &rated);
        let compared =
            rated.iter().filter(|(entry, _)| home == Some(&entry.id) || drawn.contains(&&entry.id));
        let (entry, cost) = compared.copied().min_by(|(_, a), (_, b)| a.total_cmp(b))?;
        Some(Choice {
            id: entry.id.clone(),
            run: entry.run,
            addr: entry.addr,
            zone: entry.zone.clone(),
            cost,
        })
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self, call: &Call, choice: &Choice, now: Time) -> Ticket {
        self.next += 1;
        let ticket = Ticket(self.next);
        self.reach.sent(&choice.zone, &choice.id, now);
        let tally = self.tally(&choice.id, choice.run);
        let tokens = call.tokens as f64 - tally.cached(call, now);
        let expected = tally.queue(now) + tokens + BASE_TOKENS;
        let mark = tally.load.snapshot(now);
        tally.breaker.record_sent(now);
        tally.load.started();
        tally.backlog += tokens;
        tally.remember(call, now);
        tally.open.insert(ticket, Open { sent: now, tokens, expected, mark, answered: false });
        ticket
    }

    /// Notes the first event, or the head of a plain answer, with the load that the endpoint reports.
    pub fn answered(&mut self, choice: &Choice, ticket: Ticket, load: Option<LoadReport>, now: Time) {
        if let Some(load) = load {
            self.board.note(SharedLoad::new(&choice.id, choice.run, load));
        }
        self.reach.answered(&choice.zone, &choice.id);
        let Some(tally) = self.known(choice) else { return };
        let Some(open) = tally.open.get_mut(&ticket) else { return };
        if let Some(load) = load {
            tally.load.update(load, open.mark);
        }
        if open.answered {
            return;
        }
        open.answered = true;
        tally.backlog = (tally.backlog - open.tokens).max(0.0);
        let pace = (now - open.sent).as_secs_f64() / open.expected;
        let known = tally.pace.unwrap_or(pace);
        tally.pace = Some(known + WEIGHT * (pace - known));
    }

    /// Notes that an endpoint took a request; returns whether it was let in after a pause.
    pub fn accepted(&mut self, choice: &Choice) -> bool {
        let Some(tally) = self.known(choice) else { return false };
        let Some(rejection) = tally.rejection else { return false };
        tally.rejection = rejection.accepted();
        true
    }

    /// Notes that an endpoint wants no request from this instance for some time.
    pub fn rejected(&mut self, choice: &Choice, pause: Duration, now: Time) {
        let tally = self.tally(&choice.id, choice.run);
        tally.rejection = Some(Rejection::new(tally.rejection, pause, now));
    }

    /// Returns whether an endpoint asked for a pause that has not ended.
    pub fn is_paused(&self, id: &EndpointId, run: Incarnation, now: Time) -> bool {
        self.tallies.get(id).is_some_and(|tally| tally.run == run && tally.is_paused(now))
    }

    /// Returns whether the run that a request was sent to takes up work again after a pause.
    pub fn is_recovering(&self, choice: &Choice) -> bool {
        let tally = self.tallies.get(&choice.id).filter(|tally| tally.run == choice.run);
        tally.is_some_and(|tally| tally.rejection.is_some())
    }

    /// Returns the time until the first of some endpoints that asked for a pause takes a request; none if none of them will.
    ///
    /// The time is zero if one is taking up work again and has no room at the moment.
    pub fn reopens<'a>(
        &self,
        candidates: impl Iterator<Item = &'a EndpointEntry>,
        now: Time,
    ) -> Option<Duration> {
        let tallies =
            candidates.filter_map(|entry| self.tallies.get(&entry.id).filter(|tally| tally.run == entry.run));
        // One that fails after its pause takes nothing either, for as long as its breaker is open.
        let sound = tallies.filter(|tally| tally.breaker.permission(now) != Permission::Block);
        sound.filter_map(|tally| tally.rejection).map(|rejection| rejection.left(now)).min()
    }

    /// Notes how a request ended.
    pub fn finished(&mut self, choice: &Choice, ticket: Ticket, verdict: Verdict, now: Time) {
        if verdict == Verdict::Unreachable {
            self.reach.silent(&choice.zone, &choice.id, now);
        }
        let Some(tally) = self.known(choice) else { return };
        let Some(open) = tally.open.swap_remove(&ticket) else { return };
        tally.load.ended();
        if !open.answered {
            tally.backlog = (tally.backlog - open.tokens).max(0.0);
        }
        tally.judge(verdict, now);
    }

    /// Forgets endpoints that no longer exist, unless they may come back within a pause that they asked for.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool, now: Time) {
        self.tallies.retain(|id, tally| !tally.open.is_empty() || tally.is_paused(now) || exists(id));
        self.reach.retain(exists);
    }

    /// Returns the endpoints that are compared for a request.
    fn draw<'a>(&self, call: &Call, rated: &[(&'a EndpointEntry, f64)]) -> Vec<&'a EndpointId> {
        let choices = (rated.len() * FEW_INSTANCES).div_ceil(self.instances.max(1)).max(LEAST_CHOICES);
        let mut ids: Vec<&EndpointId> = rated.iter().map(|(entry, _)| &entry.id).collect();
        if choices < ids.len() {
            let draw = xxh3_64(call.attempt.as_bytes());
            ids.sort_by_cached_key(|id| weight(xxh3_64(id.as_str().as_bytes()), draw));
            ids.truncate(choices);
        }
        ids
    }

    fn estimate(&self, call: &Call, entry: &EndpointEntry, is_home: bool, now: Time) -> Estimate {
        let tally = self.tallies.get(&entry.id).filter(|tally| tally.run == entry.run);
        let away = entry.zone != self.zone;
        let load = tally.map_or(0.0, |tally| tally.load.total(now));
        let cost = if call.weights.is_some() {
            let cached = tally.map_or(0.0, |tally| tally.cached(call, now));
            let cached = if is_home { shared_tokens(call).max(cached) } else { cached };
            let queue = tally.map_or(0.0, |tally| tally.queue(now));
            let zone = if away { ZONE_TOKENS } else { 0.0 };
            queue + call.tokens as f64 - cached + BASE_TOKENS + zone
        } else {
            let zone = if away { ZONE_LOAD } else { 0.0 };
            (load + 1.0) / f64::from(entry.slots.max(1)) + zone
        };
        Estimate {
            cost,
            pace: tally.and_then(|tally| tally.pace_at(now)),
            failures: tally.map_or(0.0, |tally| tally.failures),
            standing: self.standing(entry, tally, now),
        }
    }

    fn standing(&self, entry: &EndpointEntry, tally: Option<&Tally>, now: Time) -> Standing {
        if tally.is_some_and(|tally| !tally.admits(now)) {
            return Standing::Rejecting;
        }
        match tally.map_or(Permission::Pass, |tally| tally.breaker.permission(now)) {
            Permission::Pass if self.reach.is_doubted(&entry.zone, &entry.id, now) => Standing::Doubted,
            Permission::Pass => Standing::Sound,
            Permission::Probe => Standing::Probe,
            Permission::Block => Standing::Blocked,
        }
    }

    fn tally(&mut self, id: &EndpointId, run: Incarnation) -> &mut Tally {
        let tally = self.tallies.entry(id.clone()).or_insert_with(|| Tally::new(run));
        if tally.run != run {
            *tally = Tally::new(run);
        }
        tally
    }

    fn known(&mut self, choice: &Choice) -> Option<&mut Tally> {
        self.tallies.get_mut(&choice.id).filter(|tally| tally.run == choice.run)
    }
}

impl Tally {
    fn new(run: Incarnation) -> Self {
        Self {
            run,
            load: EndpointLoad::default(),
            breaker: Breaker::default(),
            backlog: 0.0,
            pace: None,
            failures: 0.0,
            parts: IndexMap::new(),
            open: IndexMap::new(),
            rejection: None,
        }
    }

    fn is_paused(&self, now: Time) -> bool {
        self.rejection.is_some_and(|rejection| !rejection.left(now).is_zero())
    }

    /// Returns whether the endpoint takes another request as far as its pause goes.
    fn admits(&self, now: Time) -> bool {
        self.rejection.is_none_or(|rejection| rejection.admits(self.open.len(), now))
    }

    /// Returns the tokens of prefill that go before a new request.
    fn queue(&self, now: Time) -> f64 {
        self.backlog + self.load.total(now) * RUNNING_TOKENS
    }

    /// Returns the pace by the last answers, or by a request that waits longer than these suggest.
    fn pace_at(&self, now: Time) -> Option<f64> {
        let waiting = self.open.values().filter(|open| !open.answered && now - open.sent >= LEAST_AGE);
        let slowest = waiting.map(|open| (now - open.sent).as_secs_f64() / open.expected).reduce(f64::max);
        match (self.pace, slowest) {
            (Some(pace), Some(slowest)) => Some(pace.max(slowest)),
            (pace, slowest) => pace.or(slowest),
        }
    }

    fn cached(&self, call: &Call, now: Time) -> f64 {
        let seed = seed_of(call);
        let known = call
            .prompt
            .iter()
            .take_while(|part| self.parts.get(&(part.id ^ seed)).is_some_and(|used| now < *used + FORGOTTEN));
        known.map(|part| f64::from(part.tokens)).sum()
    }

    fn remember(&mut self, call: &Call, now: Time) {
        let seed = seed_of(call);
        for part in &call.prompt {
            self.parts.shift_remove(&(part.id ^ seed));
            self.parts.insert(part.id ^ seed, now);
        }
        let over = self.parts.len().saturating_sub(PARTS);
        self.parts.drain(..over);
    }

    fn judge(&mut self, verdict: Verdict, now: Time) {
        let failed = match verdict {
            Verdict::Good => {
                self.breaker.record_success();
                0.0
            }
            Verdict::Lost => {
                self.breaker.record_failure(now);
                1.0
            }
            Verdict::Declined => {
                self.rejection = self.rejection.map(Rejection::declined);
                1.0
            }
            Verdict::Failed => 1.0,
            // No failure of its own that would outlast the cut; the breaker ends the tries of an endpoint without others.
            Verdict::Unreachable => {
                self.breaker.record_failure(now);
                return;
            }
            Verdict::Neutral => return,
        };
        self.failures += WEIGHT * (failed - self.failures);
    }
}

impl Estimate {
    /// Returns the cost as it would be at the pace and reliability of the best endpoint.
    fn rated(&self, fastest: f64, steadiest: f64) -> f64 {
        let pace = match self.pace {
            Some(pace) if fastest > 0.0 && fastest.is_finite() => (pace / fastest).clamp(1.0, MAX_PACE),
            _ => 1.0,
        };
        // Small differences of pace are noise and must not undo affinity.
        let pace = if pace < 2.0 { 1.0 } else { pace };
        self.cost * pace * (1.0 + FAILURE_COST * (self.failures - steadiest).max(0.0))
    }
}

/// Returns the endpoint on which all instances expect the longest shared part of the prompt.
fn home_of<'a>(call: &Call, candidates: &[&'a EndpointEntry]) -> Option<&'a EndpointId> {
    let key = call.affinity()? ^ seed_of(call);
    let home = candidates.iter().max_by_key(|entry| weight(xxh3_64(entry.id.as_str().as_bytes()), key));
    home.map(|entry| &entry.id)
}

/// Returns the tokens of the prompt that other requests share.
fn shared_tokens(call: &Call) -> f64 {
    let shared = call.prompt.len().saturating_sub(1);
    call.prompt[..shared].iter().map(|part| f64::from(part.tokens)).sum()
}

/// Returns a hash of what the prompt's parts are kept for: parts of one model are of no use to another.
fn seed_of(call: &Call) -> u64 {
    call.weights.as_ref().map_or(0, |weights| xxh3_64(weights.to_string().as_bytes()))
}
