//! Seeded runs of many instances that share the quotas of uneven tenants, three of which ask for five times their normal
//! usage, while leaders change and instances are cut off and restarted.
//!
//! `CAROBWICK_QUOTA_SEEDS=1-20` chooses the seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_core::Rate;
use carobwick_core::TenantId;
use carobwick_core::Time;
use carobwick_core::Tokens;
use carobwick_core::gateway::Quota;
use carobwick_core::gateway::QuotaDecision;
use carobwick_core::gateway::QuotaLedger;
use carobwick_core::gateway::QuotaMeter;
use carobwick_core::gateway::QuotaTerms;
use carobwick_core::gateway::QuotaUnit;
use carobwick_core::gateway::QuotaUpdate;
use carobwick_core::gateway::UsageReport;
use carobwick_proof::TestOutcome;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const TERMS: QuotaTerms = QuotaTerms { window: Duration::from_secs(8), overshoot: 0.1, slack: 110_000.0 };
const TENANTS: usize = 16;
/// Tenants that ask for five times their normal usage from [`JUMP`] on.
const HOT: [usize; 3] = [0, 5, 15];
/// Tenant whose callers all connect to one instance.
const SINGLE: usize = 2;
const LARGEST_RATE: f64 = 826_975.0;
const SMALLEST_RATE: f64 = 29_000.0;
/// Usage of a tenant in normal times, in parts of its rate.
const NORMAL: f64 = 1.0 / 1.8;
/// What the hot tenants ask for, in parts of their rate: five times the normal usage, and up to six times the quota.
const JUMPS: [f64; 3] = [5.0 * NORMAL, 4.0, 6.0];
/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time until a lost leader is replaced, and an instance notices that it is frozen or out of reach.
const ELECTION_TIME: Duration = Duration::from_secs(4);
/// Time at which the hot tenants begin to ask for more than their quota.
const JUMP: Time = Time(10_000_000);
/// Time of the fault.
const FAULT: Time = Time(20_000_000);
/// End of a run.
const RUN_TIME: Time = Time(45_000_000);

/// What happens at [`FAULT`].
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The leader ends; its callers connect to another instance.
    LeaderKilled,
    /// The leader stops for a while.
    LeaderFrozen,
    /// A third of the instances lose the leader and the store for 10 s.
    Partition,
    /// All instances end within a second.
    RestartAll,
    /// Quotas are halved while a third of the instances is cut off.
    LoweredInPartition,
    /// A third of the instances reports nothing.
    PreviousVersion,
}

const FAULTS: [Fault; 7] = [
    Fault::None,
    Fault::LeaderKilled,
    Fault::LeaderFrozen,
    Fault::Partition,
    Fault::RestartAll,
    Fault::LoweredInPartition,
    Fault::PreviousVersion,
];

/// How the quota is divided among the instances.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Policy {
    /// The leader derives the fraction of requests to admit from the usage everywhere.
    Fraction,
    /// Each instance has the same part of the rate and burst.
    Equal,
    /// Each instance has a part of the rate and burst by what was asked of it lately, known everywhere without a delay.
    Proportional,
}

/// Bucket of a tenant at an instance that has a share of the quota.
#[derive(Debug, Clone, Copy)]
struct Share {
    part: f64,
    level: f64,
    updated: Time,
    /// Units per second that were asked for, as a moving average over a second.
    asked: f64,
}

enum Message {
    Report(usize, UsageReport),
    Update(usize, QuotaUpdate),
}

struct Instance {
    meter: QuotaMeter,
    id: InstanceId,
    quotas: Vec<Quota>,
    next_report: Time,
    /// Shares of the tenants, for policies that divide the quota.
    shares: Vec<Share>,
    cut_until: Time,
    frozen_until: Time,
    /// Whether it has lost the leader since the last report.
    is_lost: bool,
}

struct Tenant {
    id: TenantId,
    quota: Quota,
    /// Rate of the quota at the start.
    rate: f64,
    /// Weight of each instance among the callers of the tenant.
    weights: Vec<f64>,
    asked: f64,
    /// Units that were refused although the tenant was within its quota.
    refused: f64,
    /// Level of a bucket from which all that the tenant asks for is taken, and when it was updated.
    reference: (f64, Time),
    /// Requests that were admitted, with their cost.
    used: Vec<(Time, f64)>,
}

struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    messages: BTreeMap<(Time, u64), Message>,
    sent: u64,
    instances: Vec<Instance>,
    tenants: Vec<Tenant>,
    leader: Option<usize>,
    ledger: QuotaLedger,
    next_heartbeat: Time,
    last_update: Time,
    next_election: Time,
    stored: IndexMap<TenantId, f64>,
    fault: Fault,
    /// Usage that the hot tenants ask for, in parts of their rate.
    jump: f64,
    policy: Policy,
}

impl Share {
    /// Takes a request from the share; it may leave a debt.
    fn admit(&mut self, quota: &Quota, cost: f64, now: Time) -> bool {
        let elapsed = (now - self.updated).as_secs_f64();
        self.level = (self.level + elapsed * quota.rate.0 * self.part).min(quota.burst * self.part);
        self.asked = self.asked * (-elapsed).exp() + cost;
        self.updated = now;
        let is_admitted = self.level > 0.0;
        self.level -= if is_admitted { cost } else { 0.0 };
        is_admitted
    }
}

impl Tenant {
    /// Returns whether a request and all those before it are within the quota.
    fn is_within(&mut self, cost: f64, now: Time) -> bool {
        let (level, updated) = self.reference;
        let level = level + (now - updated).as_secs_f64() * self.quota.rate.0;
        let level = level.min(self.quota.burst) - cost;
        self.reference = (level, now);
        level >= 0.0
    }
}

impl Fleet {
    fn new(seed: u64, count: usize, fault: Fault, jump: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let ratio = (SMALLEST_RATE / LARGEST_RATE).powf(1.0 / (TENANTS - 1) as f64);
        let tenants: Vec<Tenant> = (0..TENANTS)
            .map(|index| {
                let rate = LARGEST_RATE * ratio.powf(index as f64);
                let unit = QuotaUnit::Tokens { plain: Tokens(200) };
                let quota = Quota { rate: Rate(rate), burst: rate, unit };
                let mut weights: Vec<f64> = (0..count).map(|_| rng.random_range(0.2..1.0)).collect();
                if index == SINGLE {
                    weights.iter_mut().skip(1).for_each(|weight| *weight = 0.0);
                }
                let id = format!("t{index}").parse().unwrap();
                Tenant {
                    id,
                    quota,
                    rate,
                    weights,
                    asked: 0.0,
                    refused: 0.0,
                    reference: (rate, Time::ZERO),
                    used: Vec::new(),
                }
            })
            .collect();
        let quotas: Vec<Quota> = tenants.iter().map(|tenant| tenant.quota).collect();
        let instances = (0..count).map(|index| Instance {
            meter: QuotaMeter::default(),
            id: format!("i{index}").parse().unwrap(),
            quotas: quotas.clone(),
            next_report: Time(rng.random_range(0..500_000)),
            shares: vec![
                Share { part: 1.0 / count as f64, level: 0.0, updated: Time::ZERO, asked: 0.0 };
                TENANTS
            ],
            cut_until: Time::ZERO,
            frozen_until: Time::ZERO,
            is_lost: false,
        });
        let instances = instances.collect();
        let mut fleet = Self {
            rng,
            now: Time::ZERO,
            messages: BTreeMap::new(),
            sent: 0,
            instances,
            tenants,
            leader: None,
            ledger: QuotaLedger::new(TERMS, IndexMap::new(), Time::ZERO),
            next_heartbeat: Time::ZERO,
            last_update: Time::ZERO,
            next_election: Time::ZERO,
            stored: IndexMap::new(),
            fault,
            jump,
            policy: Policy::Fraction,
        };
        fleet.elect();
        fleet
    }

    fn run(&mut self) {
        let mut is_injected = false;
        while self.now < RUN_TIME {
            self.now = self.now + STEP;
            if self.now >= FAULT && !is_injected {
                is_injected = true;
                self.inject_fault();
            }
            if self.leader.is_none() && self.now >= self.next_election {
                self.elect();
            }
            self.call();
            self.report();
            self.deliver();
            self.lead();
        }
    }

    fn is_unreachable(&self, index: usize) -> bool {
        self.instances[index].cut_until > self.now || self.instances[index].frozen_until > self.now
    }

    fn elect(&mut self) {
        let usable = (1..self.instances.len()).rev().find(|index| !self.is_unreachable(*index));
        let leader = usable.unwrap();
        let meter = &self.instances[leader].meter;
        self.ledger = QuotaLedger::new(TERMS, meter.fractions(), self.now).with_levels(meter.levels());
        self.leader = Some(leader);
        self.set_quotas();
        let now = self.now;
        for instance in &mut self.instances {
            instance.is_lost = true;
            instance.next_report = instance.next_report.max(now);
        }
    }

    fn set_quotas(&mut self) {
        let quotas = self.tenants.iter().map(|tenant| (&tenant.id, tenant.quota));
        self.ledger.set_quotas(TERMS, quotas);
    }

    fn call(&mut self) {
        for index in 0..self.tenants.len() {
            let is_hot = HOT.contains(&index) && self.now >= JUMP;
            let load = self.tenants[index].rate * if is_hot { self.jump } else { NORMAL };
            // The cost is distributed evenly in its logarithm, with a mean of 14,700 tokens.
            let expected = load * STEP.as_secs_f64() / 14_700.0;
            let mut draw: f64 = self.rng.random();
            while draw < 1.0 - (-expected).exp() {
                self.request(index);
                draw = self.rng.random();
            }
        }
    }

    fn request(&mut self, index: usize) {
        let cost = 1_100.0 * (60_000.0_f64 / 1_100.0).powf(self.rng.random());
        let tenant = &mut self.tenants[index];
        let total: f64 = tenant.weights.iter().sum();
        let mut at = self.rng.random_range(0.0..total);
        let chosen = tenant.weights.iter().position(|weight| {
            at -= weight;
            at < 0.0
        });
        let instance = &mut self.instances[chosen.unwrap_or(0)];
        if instance.frozen_until > self.now {
            return;
        }
        let quota = instance.quotas[index];
        let draw = self.rng.random();
        let is_reporting = self.fault != Fault::PreviousVersion || chosen.unwrap_or(0) % 3 != 1;
        if !is_reporting {
            return;
        }
        tenant.asked += cost;
        let is_within = tenant.is_within(cost, self.now);
        let decision = match self.policy {
            Policy::Fraction => instance.meter.admit(&tenant.id, &quota, &TERMS, cost, draw, self.now),
            Policy::Equal | Policy::Proportional => {
                let is_admitted = instance.shares[index].admit(&quota, cost, self.now);
                let refused = QuotaDecision::Refuse { retry_after: Duration::ZERO };
                if is_admitted { QuotaDecision::Admit } else { refused }
            }
        };
        match decision {
            QuotaDecision::Admit => tenant.used.push((self.now, cost)),
            QuotaDecision::Refuse { .. } if is_within => tenant.refused += cost,
            QuotaDecision::Refuse { .. } => {}
        }
        if instance.meter.is_report_due(&tenant.id, &quota, &TERMS, self.now) {
            instance.next_report = self.now;
        }
    }

    fn send(&mut self, message: Message) {
        let delay = Duration::from_micros(self.rng.random_range(1_000..20_000));
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    fn report(&mut self) {
        for index in 0..self.instances.len() {
            let is_cut = self.is_unreachable(index) || self.leader.is_none();
            let instance = &mut self.instances[index];
            instance.is_lost |= is_cut;
            if is_cut || self.now < instance.next_report {
                continue;
            }
            if std::mem::take(&mut instance.is_lost) {
                instance.meter.discard_unreported(self.now);
            }
            instance.next_report = self.now + REPORT_INTERVAL;
            let report = instance.meter.take_report(self.now);
            if self.fault != Fault::PreviousVersion || index % 3 != 1 {
                self.send(Message::Report(index, report));
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry().filter(|entry| entry.key().0 <= self.now) {
            match entry.remove() {
                Message::Report(from, report) => {
                    if self.leader.is_some_and(|leader| !self.is_unreachable(leader))
                        && !self.is_unreachable(from)
                    {
                        let id = self.instances[from].id.clone();
                        self.ledger.report(&id, &report, self.now);
                        if self.ledger.is_update_due(self.now)
                            && self.now >= self.last_update + MIN_UPDATE_INTERVAL
                        {
                            self.update();
                        }
                    }
                }
                Message::Update(to, update) => {
                    if !self.is_unreachable(to) {
                        self.instances[to].meter.apply(&update, self.now);
                    }
                }
            }
        }
    }

    fn lead(&mut self) {
        let Some(leader) = self.leader else { return };
        if self.is_unreachable(leader) || self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + REPORT_INTERVAL;
        if self.policy == Policy::Proportional {
            self.divide();
        }
        self.update();
        if let Some(stored) = self.ledger.take_stored() {
            self.stored = stored;
        }
    }

    /// Divides the quotas by what was asked of the instances lately.
    fn divide(&mut self) {
        for index in 0..TENANTS {
            let now = self.now;
            let asked = |instance: &Instance| {
                let share = instance.shares[index];
                share.asked * (-(now - share.updated).as_secs_f64()).exp()
            };
            let total: f64 = self.instances.iter().map(asked).sum();
            for instance in &mut self.instances {
                instance.shares[index].part = asked(instance) / total.max(f64::MIN_POSITIVE);
            }
        }
    }

    fn update(&mut self) {
        self.last_update = self.now;
        let update = self.ledger.take_update(self.instances.len() as u32, self.now);
        for index in 0..self.instances.len() {
            self.send(Message::Update(index, update.clone()));
        }
    }

    fn inject_fault(&mut self) {
        let (now, leader) = (self.now, self.leader.unwrap());
        match self.fault {
            Fault::None | Fault::PreviousVersion => {}
            Fault::LeaderKilled => {
                self.restart(leader);
                for tenant in &mut self.tenants {
                    tenant.weights[1] += std::mem::take(&mut tenant.weights[leader]);
                }
                self.lose_leader();
            }
            Fault::LeaderFrozen => {
                self.instances[leader].frozen_until = now + Duration::from_secs(8);
                self.lose_leader();
            }
            Fault::Partition | Fault::LoweredInPartition => {
                for index in (0..self.instances.len()).filter(|index| index % 3 == 0 && *index != leader) {
                    self.instances[index].cut_until = now + Duration::from_secs(10);
                }
                if self.fault == Fault::LoweredInPartition {
                    self.lower_quotas();
                }
            }
            Fault::RestartAll => {
                for index in 0..self.instances.len() {
                    self.restart(index);
                }
                self.lose_leader();
            }
        }
    }

    fn lose_leader(&mut self) {
        self.leader = None;
        self.next_election = self.now + ELECTION_TIME;
    }

    fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.meter = QuotaMeter::default();
        instance.meter.restore(&self.stored, self.now);
    }

    fn lower_quotas(&mut self) {
        for index in HOT {
            let quota = &mut self.tenants[index].quota;
            *quota = Quota { rate: Rate(quota.rate.0 / 2.0), burst: quota.burst / 2.0, ..*quota };
            for instance in self.instances.iter_mut().filter(|instance| instance.cut_until <= self.now) {
                instance.quotas[index] = *quota;
            }
        }
        self.set_quotas();
    }

    /// Returns the most that a tenant has used in a window, relative to the bound.
    fn most_used(&self, index: usize) -> f64 {
        let tenant = &self.tenants[index];
        let is_lowered = self.fault == Fault::LoweredInPartition && HOT.contains(&index);
        let rate = tenant.rate;
        let bound =
            |rate: f64| rate * (TERMS.window.as_secs_f64() + 1.0) * (1.0 + TERMS.overshoot) + TERMS.slack;
        let (mut most, mut sum, mut first) = (0.0_f64, 0.0, 0);
        for (at, cost) in &tenant.used {
            sum += cost;
            while *at >= tenant.used[first].0 + TERMS.window {
                sum -= tenant.used[first].1;
                first += 1;
            }
            // The lowered quota binds a window that begins at least one window after the partition has ended and the
            // configuration is in force everywhere.
            let in_force = FAULT + Duration::from_secs(10) + TERMS.window * 2;
            let rate = if is_lowered && *at >= in_force { rate / 2.0 } else { rate };
            most = most.max(sum / bound(rate));
        }
        most
    }
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = std::env::var("CAROBWICK_QUOTA_SEEDS").unwrap_or_else(|_| "1-3".to_owned());
    let (first, last) = text.split_once('-').expect("CAROBWICK_QUOTA_SEEDS has the form FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}

/// Largest use of a window relative to its bound, largest share refused within the quota, and least share of the rate that a
/// hot tenant used, over all seeds and tenants.
#[derive(Debug, Clone, Copy)]
struct Figures {
    most: f64,
    refused: f64,
    used: f64,
}

impl Figures {
    fn of(instances: usize, fault: Fault, policy: Policy) -> Self {
        let mut figures = Self { most: 0.0, refused: 0.0, used: f64::INFINITY };
        for seed in seeds() {
            let mut fleet = Fleet::new(seed, instances, fault, JUMPS[seed as usize % JUMPS.len()]);
            fleet.policy = policy;
            fleet.run();
            for index in 0..TENANTS {
                figures.add(&fleet, index);
            }
        }
        println!(
            "{instances} instances, {policy:?}, {fault:?}: {:.3} of the bound used at most, {:.4} refused within the quota at most, \
             {:.2} of the rate used by a hot tenant at least",
            figures.most, figures.refused, figures.used
        );
        figures
    }

    fn add(&mut self, fleet: &Fleet, index: usize) {
        let tenant = &fleet.tenants[index];
        self.most = self.most.max(fleet.most_used(index));
        if HOT.contains(&index) {
            let since = tenant.used.iter().filter(|(at, _)| *at >= JUMP);
            let total: f64 = since.map(|(_, cost)| cost).sum();
            self.used = self.used.min(total / (tenant.quota.rate.0 * (RUN_TIME - JUMP).as_secs_f64()));
        } else {
            self.refused = self.refused.max(tenant.refused / tenant.asked);
        }
    }
}

/// Guards against a tenant that uses more than its bound in some window, at all instances together, in normal operation and
/// in each of the failures.
#[test_case(9)]
#[test_case(59)]
#[test_case(295)]
fn no_window_exceeds_the_bound(instances: usize) {
    let figures = FAULTS.map(|fault| (fault, Figures::of(instances, fault, Policy::Fraction)));
    assert!(figures.iter().all(|(_, figures)| figures.most <= 1.0), "{figures:#?}");
}

/// Guards against refusals of tenants within their quota while others are over it, also if all callers of a tenant connect to
/// one instance, and against a tenant over its quota that gets much less than its rate.
#[test_case(9)]
#[test_case(59)]
#[test_case(295)]
fn requests_within_the_quota_are_admitted(instances: usize) {
    let figures = Figures::of(instances, Fault::None, Policy::Fraction);
    assert!(figures.refused == 0.0 && figures.used > 0.85, "{figures:?}");
}

/// Guards against refusals of tenants within their quota while there is no leader, or an instance can't reach it.
/// `KNOWN-RED.txt` may list it as `quota_during_failures`.
#[test_case(9)]
#[test_case(59)]
#[test_case(295)]
fn requests_within_the_quota_are_admitted_during_failures(instances: usize) {
    let known_failures = TestOutcome::known_failures().expect("KNOWN-RED.txt is readable");
    let _outcome = TestOutcome::run(&known_failures, "quota_during_failures", || {
        let figures = FAULTS.map(|fault| (fault, Figures::of(instances, fault, Policy::Fraction)));
        assert!(figures.iter().all(|(_, figures)| figures.refused == 0.0), "{figures:#?}");
    });
}

/// Guards against a comparison in the design note that no longer holds: shares of the quota refuse what is within it.
#[test_case(9)]
#[test_case(59)]
#[test_case(295)]
fn shares_refuse_requests_within_the_quota(instances: usize) {
    for policy in [Policy::Equal, Policy::Proportional] {
        let figures = Figures::of(instances, Fault::None, policy);
        assert!(figures.refused > 0.01, "{policy:?}: {figures:?}");
    }
}
