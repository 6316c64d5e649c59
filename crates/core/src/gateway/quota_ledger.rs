use std::time::Duration;

use indexmap::IndexMap;

use crate::InstanceId;
use crate::TenantId;
use crate::Time;
use crate::gateway::Quota;
use crate::gateway::QuotaTerms;
use crate::gateway::QuotaUpdate;
use crate::gateway::TenantGrant;
use crate::gateway::TenantUsage;
use crate::gateway::UsageReport;

/// Time constant of the rates from which fractions are derived, short enough for a sudden rise.
const FAST_TIME: Duration = Duration::from_millis(200);
/// Time constant of the rates that hold while there is no leader, which the noise of single requests must not move.
const SLOW_TIME: Duration = Duration::from_secs(5);
/// Time constant of the rate that shows that a tenant has just begun to ask for more. With the slow one alone, a tenant whose
/// demand rose two seconds before its leader ended was admitted twice its quota until the next one.
const RECENT_TIME: Duration = Duration::from_millis(800);
/// Units per second by which a tenant is corrected, for each unit of its level above or below the target. Times the delay
/// of 200 ms between usage and fraction, it must stay below 1.5, or the level oscillates.
const GAIN: f64 = 7.0;
/// The same for a tenant over its quota, times its rate over the range, so that single requests of a small tenant move its
/// fraction less.
const RANGE_GAIN: f64 = 5.0;
/// Part of the range above the target at which a tenant starts.
const INITIAL_PART: f64 = 0.25;
/// Part of the range below the target at which a tenant starts that was over its quota before the term: what it used
/// in the window before is not known.
const INITIAL_DEBT_PART: f64 = 0.4;
/// Windows at the full rate by which a level may be below zero.
const MAX_DEBT_WINDOWS: f64 = 2.0;
/// Time without a report after which an instance counts as lost; it reports every 500 ms.
const LOST_TIME: Duration = Duration::from_millis(1_500);
/// Time at the start of a term in which no fraction is above the last known one, since not all instances have reported yet.
const START_TIME: Duration = Duration::from_millis(1_500);
/// Relative change of a fraction that instances must hear of before the next heartbeat.
const FRACTION_CHANGE: f64 = 0.1;
/// Relative change of a fraction that the store must have.
const STORED_CHANGE: f64 = 0.25;
/// Rate below which a tenant counts as idle, in units per second.
const IDLE_RATE: f64 = 1e-3;

/// Usage of all tenants at all instances, from which the leader derives the fraction of requests to admit.
///
/// It addresses tenants that ask for a multiple of their quota: a token bucket for each of them makes the sum over any window
/// keep to the quota, whatever was admitted too much before a fraction took effect.
#[derive(Debug)]
pub struct QuotaLedger {
    terms: QuotaTerms,
    accounts: IndexMap<TenantId, Account>,
    started: Time,
    updated: Time,
    /// Fractions from before the term.
    initial: IndexMap<TenantId, f64>,
    /// Levels that the leader before sent last.
    known_levels: IndexMap<TenantId, f64>,
    /// Fractions that were sent last.
    sent: IndexMap<TenantId, f64>,
    /// Fractions that were stored last.
    stored: IndexMap<TenantId, f64>,
}

#[derive(Debug)]
struct Account {
    quota: Quota,
    level: f64,
    instances: IndexMap<InstanceId, InstanceRate>,
}

/// Rates of a tenant at one instance.
#[derive(Debug)]
struct InstanceRate {
    asked: f64,
    recent_asked: f64,
    slow_asked: f64,
    slow_admitted: f64,
    reported: Time,
}

impl QuotaLedger {
    /// Creates the ledger of a term that begins now; `fractions` are the last known ones of tenants over their quota.
    pub fn new(terms: QuotaTerms, fractions: IndexMap<TenantId, f64>, now: Time) -> Self {
        Self {
            terms,
            accounts: IndexMap::new(),
            started: now,
            updated: now,
            stored: fractions.clone(),
            initial: fractions,
            known_levels: IndexMap::new(),
            sent: IndexMap::new(),
        }
    }

    /// Sets the levels that the leader before sent last. No tenant starts above its own: nothing counted its usage since.
    #[must_use]
    pub fn with_levels(self, levels: IndexMap<TenantId, f64>) -> Self {
        Self { known_levels: levels, ..self }
    }

    /// Sets the terms and the quotas in force. The usage of a tenant before the term is not known: one that was over its quota
    /// starts below the target, any other one a quarter above.
    pub fn set_quotas<'a>(&mut self, terms: QuotaTerms, quotas: impl Iterator<Item = (&'a TenantId, Quota)>) {
        self.terms = terms;
        let quotas: IndexMap<&TenantId, Quota> = quotas.collect();
        self.accounts.retain(|tenant, _| quotas.contains_key(tenant));
        for (tenant, quota) in quotas {
            let is_over = self.initial.contains_key(tenant);
            let account = self.accounts.entry(tenant.clone());
            let known = self.known_levels.get(tenant).copied().unwrap_or(f64::INFINITY);
            account.or_insert_with(|| Account::new(quota, &terms, is_over, known)).set_quota(quota);
        }
    }

    /// Counts the usage that an instance reports.
    pub fn report(&mut self, from: &InstanceId, report: &UsageReport, now: Time) {
        self.advance(now);
        let elapsed = report.elapsed.duration();
        let usages: IndexMap<_, _> = report.tenants.iter().map(|usage| (&usage.tenant, usage)).collect();
        for (tenant, account) in &mut self.accounts {
            account.report(from, usages.get(tenant).copied(), elapsed, now);
        }
    }

    /// Returns the state of all tenants with usage, to be sent to all instances.
    pub fn take_update(&mut self, instances: u32, now: Time) -> QuotaUpdate {
        self.advance(now);
        let active = self.accounts.iter().filter(|(_, account)| account.is_active());
        let grants = active.map(|(tenant, account)| TenantGrant {
            tenant: tenant.clone(),
            fraction: self.fraction(tenant, account, now) as f32,
            steady: account.steady() as f32,
            level: account.level as f32,
            admitted: account.admitted() as f32,
        });
        let update = QuotaUpdate { instances, tenants: grants.collect() };
        self.sent = fractions(&update);
        update
    }

    /// Returns whether a fraction has changed so much that the instances must hear of it before the next heartbeat.
    pub fn is_update_due(&self, now: Time) -> bool {
        self.accounts.iter().any(|(tenant, account)| {
            let known = self.sent.get(tenant).copied().unwrap_or(1.0);
            is_changed(known, self.fraction(tenant, account, now), FRACTION_CHANGE)
        })
    }

    /// Returns the fractions of tenants over their quota if the store must have them.
    pub fn take_stored(&mut self) -> Option<IndexMap<TenantId, f64>> {
        let current: IndexMap<TenantId, f64> = self
            .accounts
            .iter()
            .map(|(tenant, account)| (tenant.clone(), account.steady()))
            .filter(|(_, fraction)| *fraction < 1.0)
            .collect();
        let fraction = |of: &IndexMap<TenantId, f64>, tenant| of.get(tenant).copied().unwrap_or(1.0);
        let tenants = current.keys().chain(self.stored.keys());
        let is_due = tenants.clone().any(|tenant| {
            is_changed(fraction(&self.stored, tenant), fraction(&current, tenant), STORED_CHANGE)
        });
        is_due.then(|| {
            self.stored.clone_from(&current);
            current
        })
    }

    /// Returns the number of tenants over their quota.
    pub fn over_quota(&self, now: Time) -> usize {
        let over = |(tenant, account): &(&TenantId, &Account)| self.fraction(tenant, account, now) < 1.0;
        self.accounts.iter().filter(over).count()
    }

    fn advance(&mut self, now: Time) {
        let (from, window) = (self.updated, self.terms.window);
        self.updated = now;
        for account in self.accounts.values_mut() {
            account.advance(from, now, window);
        }
    }

    fn fraction(&self, tenant: &TenantId, account: &Account, now: Time) -> f64 {
        let fraction = account.fraction(&self.terms);
        match self.initial.get(tenant) {
            Some(initial) if now < self.started + START_TIME => fraction.min(*initial),
            _ => fraction,
        }
    }
}

impl Account {
    fn new(quota: Quota, terms: &QuotaTerms, is_over: bool, known: f64) -> Self {
        let above = terms.range(&quota) * if is_over { -INITIAL_DEBT_PART } else { INITIAL_PART };
        let level = known.min(terms.target(&quota) + above);
        Self { quota, level, instances: IndexMap::new() }
    }

    fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        self.level = self.level.min(quota.burst);
    }

    /// Adds the units of the time since `from`, and takes what lost instances admit at their last rate.
    fn advance(&mut self, from: Time, now: Time, window: Duration) {
        self.instances.retain(|_, rate| now < rate.reported + LOST_TIME + window);
        let elapsed = (now - from).as_secs_f64();
        let lost = self.instances.values().filter(|rate| now >= rate.reported + LOST_TIME);
        let lost: f64 = lost.map(|rate| rate.slow_admitted).sum();
        let level = self.level + (self.quota.rate.0 - lost) * elapsed;
        // Without a floor, one request that states an absurd size would keep its tenant out for as long.
        let lowest = -self.quota.rate.0 * window.as_secs_f64() * MAX_DEBT_WINDOWS;
        self.level = level.max(lowest).min(self.quota.burst);
    }

    fn report(&mut self, from: &InstanceId, usage: Option<&TenantUsage>, elapsed: Duration, now: Time) {
        if usage.is_none() && !self.instances.contains_key(from) {
            return;
        }
        let (asked, admitted) = usage.map_or((0.0, 0.0), |usage| (usage.asked, usage.admitted));
        self.level -= f64::from(admitted);
        let seconds = elapsed.as_secs_f64().max(0.001);
        let rate = self.instances.entry(from.clone()).or_insert_with(|| InstanceRate::new(now));
        let [asked, admitted] = [asked, admitted].map(|units| f64::from(units).max(0.0) / seconds);
        average(&mut rate.asked, asked, seconds, FAST_TIME);
        average(&mut rate.recent_asked, asked, seconds, RECENT_TIME);
        average(&mut rate.slow_asked, asked, seconds, SLOW_TIME);
        average(&mut rate.slow_admitted, admitted, seconds, SLOW_TIME);
        rate.reported = now;
        if rate.slow_asked < IDLE_RATE {
            self.instances.swap_remove(from);
        }
    }

    fn is_active(&self) -> bool {
        !self.instances.is_empty() || self.level < self.quota.burst
    }

    fn admitted(&self) -> f64 {
        self.instances.values().map(|rate| rate.slow_admitted).sum()
    }

    fn slow_asked(&self) -> f64 {
        self.instances.values().map(|rate| rate.slow_asked).sum()
    }

    /// Returns the rate that is asked for: at once if it rises, and slowly if it falls.
    fn asked(&self) -> f64 {
        self.instances.values().map(|rate| rate.asked).sum::<f64>().max(self.slow_asked())
    }

    /// Returns the fraction that would keep the tenant at its rate, without a correction by the level.
    fn steady(&self) -> f64 {
        let recent: f64 = self.instances.values().map(|rate| rate.recent_asked).sum();
        let asked = self.slow_asked().max(recent);
        if self.quota.rate.0 >= asked { 1.0 } else { self.quota.rate.0 / asked }
    }

    fn fraction(&self, terms: &QuotaTerms) -> f64 {
        let above = self.level - terms.target(&self.quota);
        let is_within = above > 0.0 && self.slow_asked() <= self.quota.rate.0;
        let gain = if is_within {
            GAIN
        } else {
            GAIN.min(RANGE_GAIN * self.quota.rate.0 / terms.range(&self.quota))
        };
        let allowed = (self.quota.rate.0 + above * gain).max(0.0);
        let asked = self.asked();
        if allowed >= asked { 1.0 } else { allowed / asked }
    }
}

impl InstanceRate {
    fn new(now: Time) -> Self {
        Self { asked: 0.0, recent_asked: 0.0, slow_asked: 0.0, slow_admitted: 0.0, reported: now }
    }
}

fn average(rate: &mut f64, sample: f64, seconds: f64, time: Duration) {
    *rate += (sample - *rate) * (1.0 - (-seconds / time.as_secs_f64()).exp());
}

fn fractions(update: &QuotaUpdate) -> IndexMap<TenantId, f64> {
    update.tenants.iter().map(|grant| (grant.tenant.clone(), f64::from(grant.fraction))).collect()
}

fn is_changed(known: f64, fraction: f64, change: f64) -> bool {
    (fraction - known).abs() > change * known.max(fraction)
}
