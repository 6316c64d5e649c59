use std::time::Duration;

use carobwick_derive::data;
use indexmap::IndexMap;

use crate::Millis;
use crate::TenantId;
use crate::Time;
use crate::gateway::Quota;

/// Least time between two reports of an instance.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Part of the range of a tenant's level that all instances together may ask for before they report, beyond the requests
/// of the shortest interval between reports.
const UNREPORTED_PART: f64 = 0.25;
/// Number of instances that is assumed until the leader has sent it.
const ASSUMED_INSTANCES: u32 = 64;
/// Time without an update after which the leader counts as lost; it sends one every 500 ms.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);
/// Most by which an instance without a leader exceeds its last rate, for a tenant that used little of its quota.
const MAX_GROWTH: f64 = 4.0;
/// Part of an equal share of the rate that an instance without a leader may use although it had less usage.
const BASE_SHARE: f64 = 0.25;
/// Standard deviations of the usage in a window by which the fraction is lower without a leader, for tenants over their
/// quota. A tenant of few large requests may be admitted twice its rate by chance.
const DEVIATIONS: f64 = 2.5;
/// Part of the fraction of a tenant over its quota that is admitted without a leader: its demand may go on rising, and
/// nothing tells the instances.
const LEADERLESS_PART: f64 = 0.85;
/// Part of a fraction from before a restart that is admitted. The store has changes of more than a quarter only.
const RESTORED_PART: f64 = 0.75;
/// Time constant of the rate of an instance.
const RATE_TIME: Duration = Duration::from_secs(3);
/// Requests of the usual size that an instance without a leader may admit on top of its rate.
const SPARE_REQUESTS: f64 = 1.0;
/// Part of the range below the level at which a tenant over its quota is kept, for the usage until a fraction is in force.
/// With 0.3, a jump to four or six times the quota exceeded the bound at 9 instances in 2 of 12 seeds.
const TARGET_PART: f64 = 0.5;
/// Part of the overshoot and the slack that is used. The rest is for what the sum of all instances misses: requests that are
/// sent later than they are admitted, and updates that come late.
const USED_SLACK_PART: f64 = 0.92;
/// Largest part of the window by whose usage at the full rate a level may be below zero. It keeps a slack in one unit from
/// removing the limit of a tenant that counts in another.
const MAX_DEBT_PART: f64 = 0.6;
/// Part of the usual size of a tenant's requests up to which a request counts as small. Refusing small requests saves few
/// units and costs as many callers as refusing large ones.
const SMALL_PART: f64 = 0.5;
/// Smoothing factor of the usual size and of the part of the units that small requests ask for.
const SIZE_FACTOR: f64 = 0.02;
/// Least `Retry-After` of a request over the quota.
const MIN_RETRY: Duration = Duration::from_millis(200);

/// Bound on the usage of a tenant in any window: the rate times the window plus the burst, increased by `overshoot`, plus
/// `slack`.
#[data]
#[derive(Copy)]
pub struct QuotaTerms {
    /// Length of the window.
    pub window: Duration,
    /// Part of the quota by which the usage may exceed it.
    pub overshoot: f64,
    /// Units by which the usage may exceed it further.
    pub slack: f64,
}

/// Usage of a tenant at one instance since its last report.
#[data]
pub struct TenantUsage {
    /// Tenant.
    pub tenant: TenantId,
    /// Units that its requests asked for.
    pub asked: f32,
    /// Units that were admitted, less those that were refunded.
    pub admitted: f32,
}

/// Usage of all tenants at one instance since its last report. A tenant that is not included used nothing.
#[data]
#[derive(Default)]
pub struct UsageReport {
    /// Time since the last report.
    pub elapsed: Millis,
    /// Tenants with usage.
    pub tenants: Vec<TenantUsage>,
}

/// State of a tenant's quota, as the leader sends it.
#[data]
pub struct TenantGrant {
    /// Tenant.
    pub tenant: TenantId,
    /// Fraction of its requests to admit.
    pub fraction: f32,
    /// Fraction that would keep it at its rate, without the correction by the level.
    pub steady: f32,
    /// Units that remain of its burst; negative if it is exceeded.
    pub level: f32,
    /// Units per second that all instances admit together.
    pub admitted: f32,
}

/// States of the quotas of all tenants that have usage. One that is not included may use its whole quota.
#[data]
#[derive(Default)]
pub struct QuotaUpdate {
    /// Number of instances.
    pub instances: u32,
    /// Tenants with usage.
    pub tenants: Vec<TenantGrant>,
}

/// Whether a request is within the quota of its tenant.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaDecision {
    /// It is admitted.
    Admit,
    /// It is over the quota, and would be admitted after this time.
    Refuse {
        /// Time after which it would be admitted, with jitter.
        retry_after: Duration,
    },
}

/// Counts the usage of tenants at one instance, and decides which requests are within the quotas.
///
/// It addresses tenants that ask for a multiple of their quota through many instances at once, without a message per request:
/// it admits the fraction that the leader has derived from the usage at all instances. Without a leader, it goes on with the
/// last fraction and admits no more than its part of the rate.
#[derive(Debug, Default)]
pub struct QuotaMeter {
    tenants: IndexMap<TenantId, Meter>,
    /// Time of the last report.
    reported: Time,
    /// Time of the last update, or none before the first one.
    heard: Option<Time>,
    instances: Option<u32>,
}

/// Usage and state of one tenant.
#[derive(Debug)]
struct Meter {
    asked: f64,
    admitted: f64,
    /// Units admitted since the last update.
    unheard: f64,
    /// Units per second admitted here, as a moving average.
    rate: f64,
    /// Units of one request, as a moving average.
    request: f64,
    /// Units of a small request, where a large one counts as none, as a moving average.
    small: f64,
    averaged: Time,
    fraction: f64,
    /// Fraction without a leader.
    steady: f64,
    /// Level and total admitted rate of the last update, or none if it did not include the tenant.
    state: Option<(f64, f64)>,
    /// Bucket that limits the tenant while there is no leader.
    bucket: Option<LocalBucket>,
}

/// Bucket of an instance without a leader. It admits a request while it is not empty, and may then have a debt.
#[derive(Debug)]
struct LocalBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    updated: Time,
}

impl QuotaTerms {
    /// Returns the units by which a tenant's level may be below zero.
    pub(super) fn debt(&self, quota: &Quota) -> f64 {
        let units = quota.rate.0 * self.window.as_secs_f64();
        let debt = (units + quota.burst) * self.overshoot + self.slack;
        (debt * USED_SLACK_PART).min(units * MAX_DEBT_PART)
    }

    /// Returns the units between a full level and the lowest one.
    pub(super) fn range(&self, quota: &Quota) -> f64 {
        quota.burst + self.debt(quota)
    }

    /// Returns the level at which a tenant over its quota is kept.
    pub(super) fn target(&self, quota: &Quota) -> f64 {
        self.range(quota) * TARGET_PART - self.debt(quota)
    }
}

impl QuotaMeter {
    /// Decides on a request of `cost` units and counts it. `draw` is a random number in `0.0..1.0`.
    pub fn admit(
        &mut self,
        tenant: &TenantId,
        quota: &Quota,
        terms: &QuotaTerms,
        cost: f64,
        draw: f64,
        now: Time,
    ) -> QuotaDecision {
        let instances = f64::from(self.instances.unwrap_or(ASSUMED_INSTANCES).max(1));
        let heard = self.heard;
        let meter = self.tenants.entry(tenant.clone()).or_insert_with(|| Meter::idle(now));
        meter.asked += cost;
        meter.average(cost, now);
        let is_led = heard.is_some_and(|heard| now < heard + LEADER_TIMEOUT);
        let fraction = if is_led { meter.fraction } else { meter.leaderless_fraction(quota, terms) };
        // Without a leader, nothing corrects the larger variation of the units that are admitted so.
        let is_drawn = draw < if is_led { meter.admitted_part(fraction, cost) } else { fraction };
        let has_room = if is_led {
            meter.bucket = None;
            meter.level(quota, heard, now) > -terms.debt(quota)
        } else if heard.is_some() {
            meter.local_bucket(quota, terms, instances, now).take(cost, is_drawn, now)
        } else {
            true
        };
        if has_room && is_drawn {
            meter.admitted += cost;
            meter.unheard += cost;
            meter.rate += cost / RATE_TIME.as_secs_f64();
            return QuotaDecision::Admit;
        }
        QuotaDecision::Refuse { retry_after: meter.retry_after(quota, terms, draw) }
    }

    /// Returns the units of a request that no endpoint has run.
    pub fn refund(&mut self, tenant: &TenantId, cost: f64) {
        if let Some(meter) = self.tenants.get_mut(tenant) {
            meter.asked -= cost;
            meter.admitted -= cost;
            meter.unheard -= cost;
        }
    }

    /// Returns whether the usage of a tenant must be reported before the next regular report.
    pub fn is_report_due(&self, tenant: &TenantId, quota: &Quota, terms: &QuotaTerms, now: Time) -> bool {
        let instances = f64::from(self.instances.unwrap_or(ASSUMED_INSTANCES).max(1));
        let limit = terms.range(quota) * UNREPORTED_PART / instances;
        now >= self.reported + MIN_REPORT_INTERVAL
            && self.tenants.get(tenant).is_some_and(|meter| meter.asked > limit)
    }

    /// Returns the usage since the last report.
    pub fn take_report(&mut self, now: Time) -> UsageReport {
        let elapsed = Millis((now - self.reported).as_millis() as u64);
        self.reported = now;
        let used = self.tenants.iter_mut().filter(|(_, meter)| meter.asked != 0.0 || meter.admitted != 0.0);
        let tenants = used.map(|(tenant, meter)| meter.take_usage(tenant)).collect();
        UsageReport { elapsed, tenants }
    }

    /// Forgets the usage that was not reported. A new leader does not count what was used before its term, and one that
    /// was only out of reach has counted the last rate of this instance instead.
    pub fn discard_unreported(&mut self, now: Time) {
        self.take_report(now);
    }

    /// Applies an update of the leader.
    pub fn apply(&mut self, update: &QuotaUpdate, now: Time) {
        self.heard = Some(now);
        self.instances = Some(update.instances);
        for meter in self.tenants.values_mut() {
            // The update does not include what has not been reported yet.
            (meter.fraction, meter.steady, meter.state, meter.unheard) = (1.0, 1.0, None, meter.admitted);
        }
        for grant in &update.tenants {
            let meter = self.tenants.entry(grant.tenant.clone()).or_insert_with(|| Meter::idle(now));
            meter.fraction = f64::from(grant.fraction);
            meter.steady = f64::from(grant.steady);
            meter.state = Some((f64::from(grant.level), f64::from(grant.admitted)));
        }
    }

    /// Applies fractions from before a restart, unless the leader has sent newer ones.
    pub fn restore(&mut self, fractions: &IndexMap<TenantId, f64>, now: Time) {
        if self.heard.is_some() {
            return;
        }
        for (tenant, fraction) in fractions {
            let meter = self.tenants.entry(tenant.clone()).or_insert_with(|| Meter::idle(now));
            meter.steady = fraction.clamp(0.0, 1.0) * RESTORED_PART;
        }
    }

    /// Returns the last known fractions of tenants over their quota.
    pub fn fractions(&self) -> IndexMap<TenantId, f64> {
        let over = self.tenants.iter().filter(|(_, meter)| meter.steady < 1.0);
        over.map(|(tenant, meter)| (tenant.clone(), meter.steady)).collect()
    }

    /// Returns the levels of the last update.
    pub fn levels(&self) -> IndexMap<TenantId, f64> {
        let known = self.tenants.iter().filter_map(|(tenant, meter)| Some((tenant, meter.state?)));
        known.map(|(tenant, (level, _))| (tenant.clone(), level)).collect()
    }

    /// Removes the tenants that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&TenantId) -> bool) {
        self.tenants.retain(|tenant, _| exists(tenant));
    }
}

impl Meter {
    fn idle(now: Time) -> Self {
        Self {
            asked: 0.0,
            admitted: 0.0,
            unheard: 0.0,
            rate: 0.0,
            request: 0.0,
            small: 0.0,
            averaged: now,
            fraction: 1.0,
            steady: 1.0,
            state: None,
            bucket: None,
        }
    }

    /// Returns the fraction without a leader: nothing corrects what is admitted too much.
    fn leaderless_fraction(&self, quota: &Quota, terms: &QuotaTerms) -> f64 {
        if self.steady >= 1.0 {
            return 1.0;
        }
        let requests = quota.rate.0 * terms.window.as_secs_f64() / self.request.max(f64::MIN_POSITIVE);
        self.steady * LEADERLESS_PART * (1.0 - DEVIATIONS / requests.max(1.0).sqrt()).max(0.1)
    }

    fn average(&mut self, cost: f64, now: Time) {
        let elapsed = (now - self.averaged).as_secs_f64();
        self.rate *= (-elapsed / RATE_TIME.as_secs_f64()).exp();
        self.averaged = now;
        if self.request == 0.0 {
            self.request = cost;
        }
        self.request += (cost - self.request) * SIZE_FACTOR;
        let small = if self.is_small(cost) { cost } else { 0.0 };
        self.small += (small - self.small) * SIZE_FACTOR;
    }

    fn is_small(&self, cost: f64) -> bool {
        cost <= self.request * SMALL_PART
    }

    /// Returns the part of the requests of this size to admit so that the fraction of all units is admitted.
    ///
    /// Small requests are admitted before large ones, as that refuses the fewest callers for the units that are saved. Among
    /// large requests the size does not matter, so that the largest of them are not left out.
    fn admitted_part(&self, fraction: f64, cost: f64) -> f64 {
        let small = (self.small / self.request.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
        if self.is_small(cost) {
            return if fraction >= small { 1.0 } else { fraction / small };
        }
        if small < 1.0 { ((fraction - small) / (1.0 - small)).max(0.0) } else { fraction }
    }

    /// Returns the level, as far as this instance knows it.
    fn level(&self, quota: &Quota, heard: Option<Time>, now: Time) -> f64 {
        let Some(heard) = heard else { return quota.burst };
        let (level, _) = self.state.unwrap_or((quota.burst, 0.0));
        let refilled = (now - heard).as_secs_f64() * quota.rate.0;
        (level + refilled - self.unheard).min(quota.burst)
    }

    fn local_bucket(
        &mut self,
        quota: &Quota,
        terms: &QuotaTerms,
        instances: f64,
        now: Time,
    ) -> &mut LocalBucket {
        let (level, admitted) = self.state.unwrap_or((quota.burst, 0.0));
        let growth = (quota.rate.0 / admitted.max(f64::MIN_POSITIVE)).min(MAX_GROWTH);
        let base = admitted.max(quota.rate.0 * BASE_SHARE) / instances;
        let rate = self.rate.max(base) * growth;
        let room = (level + terms.debt(quota)).max(0.0) / instances;
        self.bucket.get_or_insert_with(|| {
            let capacity = rate + room + self.request * SPARE_REQUESTS;
            LocalBucket { rate, capacity, level: capacity, updated: now }
        })
    }

    fn retry_after(&self, quota: &Quota, terms: &QuotaTerms, draw: f64) -> Duration {
        let (level, _) = self.state.unwrap_or((quota.burst, 0.0));
        let deficit = (terms.target(quota) - level + self.unheard).max(0.0) / quota.rate.0;
        // Requests that are refused within a second use the quota of this many seconds.
        let surplus = 1.0 / self.fraction.max(f64::MIN_POSITIVE) - 1.0;
        let window = terms.window.as_secs_f64().max(MIN_RETRY.as_secs_f64());
        let wait = (deficit + surplus).clamp(MIN_RETRY.as_secs_f64(), window);
        // The digits of the draw below those that decided on the request.
        let jitter = (draw * 1_024.0).fract();
        Duration::from_secs_f64(wait * (1.0 + 0.5 * jitter))
    }

    fn take_usage(&mut self, tenant: &TenantId) -> TenantUsage {
        let usage =
            TenantUsage { tenant: tenant.clone(), asked: self.asked as f32, admitted: self.admitted as f32 };
        (self.asked, self.admitted) = (0.0, 0.0);
        usage
    }
}

impl LocalBucket {
    /// Takes the units of a request that is otherwise admitted; returns whether there was room.
    fn take(&mut self, cost: f64, is_admitted: bool, now: Time) -> bool {
        let refilled = self.level + (now - self.updated).as_secs_f64() * self.rate;
        self.level = refilled.min(self.capacity);
        self.updated = now;
        let has_room = self.level > 0.0;
        if has_room && is_admitted {
            self.level -= cost;
        }
        has_room
    }
}
