//! Tests of the quota meter of one instance and of the leader's quota ledger.

use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_core::Millis;
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
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::TenantGrant;
use carobwick_core::gateway::TenantUsage;
use carobwick_core::gateway::UsageReport;
use indexmap::IndexMap;

const TERMS: QuotaTerms = QuotaTerms { window: Duration::from_secs(8), overshoot: 0.1, slack: 0.0 };
const QUOTA: Quota = Quota { rate: Rate(100.0), burst: 100.0, unit: QuotaUnit::Requests };
const START: Time = Time(1_000_000);

fn tenant() -> TenantId {
    "alpha".parse().unwrap()
}

fn at(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

fn is_admitted(meter: &mut QuotaMeter, cost: f64, draw: f64, now: Time) -> bool {
    meter.admit(&tenant(), &QUOTA, &TERMS, cost, draw, now) == QuotaDecision::Admit
}

fn update(fraction: f32, steady: f32, level: f32, admitted: f32) -> QuotaUpdate {
    let grant = TenantGrant { tenant: tenant(), fraction, steady, level, admitted };
    QuotaUpdate { instances: 10, tenants: vec![grant] }
}

fn ledger(fractions: IndexMap<TenantId, f64>) -> QuotaLedger {
    let mut ledger = QuotaLedger::new(TERMS, fractions, START);
    ledger.set_quotas(TERMS, [(&tenant(), QUOTA)].into_iter());
    ledger
}

/// Reports the usage of an instance each 100 ms until a time, of which the last fraction is admitted, and returns the last
/// state of the quota.
fn report(ledger: &mut QuotaLedger, from: u64, until: u64, rate: f32) -> TenantGrant {
    let instance: InstanceId = "i1".parse().unwrap();
    let mut fraction = 1.0;
    for millis in (from..until).step_by(100) {
        let usage = TenantUsage { tenant: tenant(), asked: rate / 10.0, admitted: rate / 10.0 * fraction };
        let report = UsageReport { elapsed: Millis(100), tenants: vec![usage] };
        ledger.report(&instance, &report, at(millis));
        fraction = ledger.take_update(10, at(millis)).tenants.first().map_or(1.0, |grant| grant.fraction);
    }
    ledger.take_update(10, at(until)).tenants.remove(0)
}

/// Guards against requests that are refused, or are not spread by the draw, at the fraction that the leader has sent.
#[test]
fn requests_are_admitted_by_the_fraction() {
    let mut meter = QuotaMeter::default();
    assert!(is_admitted(&mut meter, 1.0, 0.99, START), "there is no update yet");
    meter.apply(&update(0.25, 0.25, 0.0, 100.0), START);
    assert!(is_admitted(&mut meter, 1.0, 0.2, START));
    assert!(!is_admitted(&mut meter, 1.0, 0.3, START));
    meter.apply(&QuotaUpdate { instances: 10, tenants: Vec::new() }, START);
    assert!(is_admitted(&mut meter, 1.0, 0.99, START), "the tenant is idle again");
}

/// Guards against an instance that alone uses more than what is left while no update arrives.
#[test]
fn an_instance_stops_at_the_lowest_level() {
    let mut meter = QuotaMeter::default();
    meter.apply(&update(1.0, 1.0, 100.0, 10.0), START);
    let admitted = (0..1_000).filter(|_| is_admitted(&mut meter, 1.0, 0.5, START)).count();
    assert_eq!(admitted, 183, "the burst and 0.92 of a tenth of nine seconds of the rate");
    assert!(is_admitted(&mut meter, 1.0, 0.5, at(100)), "the level rises with the rate");
}

/// Guards against usage that is counted twice or not at all, and against the units of a request that did not run.
#[test]
fn a_report_has_the_usage_since_the_last_one_without_refunds() {
    let mut meter = QuotaMeter::default();
    meter.take_report(START);
    for cost in [5.0, 7.0, 1.0] {
        is_admitted(&mut meter, cost, 0.0, START);
    }
    meter.refund(&tenant(), 7.0);
    let report = meter.take_report(at(500));
    assert_eq!(report.elapsed, Millis(500));
    assert_eq!(report.tenants, [TenantUsage { tenant: tenant(), asked: 6.0, admitted: 6.0 }]);
    assert!(meter.take_report(at(600)).tenants.is_empty());
}

/// Guards against a report for each request, and against usage that waits for the next report while it is large.
#[test]
fn large_usage_is_reported_early_but_not_more_often_than_ten_times_a_second() {
    let mut meter = QuotaMeter::default();
    meter.apply(&update(1.0, 1.0, 100.0, 10.0), START);
    meter.take_report(START);
    is_admitted(&mut meter, 4.0, 0.0, at(50));
    assert!(!meter.is_report_due(&tenant(), &QUOTA, &TERMS, at(150)), "little usage");
    is_admitted(&mut meter, 4.0, 0.0, at(50));
    assert!(!meter.is_report_due(&tenant(), &QUOTA, &TERMS, at(99)));
    assert!(meter.is_report_due(&tenant(), &QUOTA, &TERMS, at(100)));
}

/// Guards against an instance that, cut off from the leader, uses the rate of all instances.
#[test]
fn without_a_leader_an_instance_uses_its_part_of_the_rate() {
    let mut meter = QuotaMeter::default();
    meter.apply(&update(1.0, 1.0, 100.0, 50.0), START);
    for millis in (0..600).step_by(100) {
        is_admitted(&mut meter, 1.0, 0.0, at(millis));
    }
    let admitted = (1_000..9_000).filter(|millis| is_admitted(&mut meter, 1.0, 0.0, at(*millis))).count();
    assert!((50..200).contains(&admitted), "{admitted} requests of the 800 that the rate allows everywhere");
}

/// Guards against callers that all retry at the same time, or before a request would be admitted.
#[test]
fn a_refusal_names_a_time_with_jitter() {
    let mut meter = QuotaMeter::default();
    meter.apply(&update(0.2, 0.2, 0.0, 100.0), START);
    let times =
        [0.5, 0.6, 0.7321].map(|draw| match meter.admit(&tenant(), &QUOTA, &TERMS, 1.0, draw, START) {
            QuotaDecision::Refuse { retry_after } => retry_after,
            QuotaDecision::Admit => panic!("the request is over the quota"),
        });
    assert!(times.iter().all(|time| *time >= Duration::from_secs(4)), "{times:?}");
    assert!(times[0] != times[1] && times[1] != times[2], "{times:?}");
}

/// Guards against a tenant that stays over its quota, or is held far below it.
#[test]
fn the_fraction_brings_a_tenant_to_its_rate() {
    let mut ledger = ledger(IndexMap::new());
    assert!(report(&mut ledger, 100, 2_000, 50.0).fraction >= 1.0, "the usage is within the quota");
    let grant = report(&mut ledger, 2_000, 20_000, 400.0);
    assert!((0.15..0.35).contains(&grant.fraction) && (0.2..0.3).contains(&grant.steady), "{grant:?}");
    assert!((80.0..120.0).contains(&grant.admitted) && grant.level > -90.0, "{grant:?}");
    let grant = report(&mut ledger, 20_000, 60_000, 50.0);
    assert!(grant.fraction >= 1.0 && grant.level >= 90.0, "{grant:?}");
}

/// Guards against both sides of a partition that use the whole rate, and against usage of an ended instance that counts on.
#[test]
fn the_last_rate_of_a_lost_instance_counts_for_a_window() {
    let mut ledger = ledger(IndexMap::new());
    report(&mut ledger, 100, 20_000, 90.0);
    let before = ledger.take_update(10, at(21_500)).tenants.remove(0).level;
    let lost = ledger.take_update(10, at(28_500)).tenants.remove(0).level;
    assert!(lost < before + 150.0 && lost < 100.0 + 1e-3, "{before} {lost}");
    assert!(ledger.take_update(10, at(40_000)).tenants.is_empty(), "the instance is forgotten");
}

/// Guards against a new leader that admits everything before the instances have reported to it.
#[test]
fn a_new_term_starts_with_the_last_fractions() {
    let mut ledger = ledger([(tenant(), 0.2)].into_iter().collect());
    assert!(report(&mut ledger, 100, 1_000, 10.0).fraction <= 0.2);
    assert!(report(&mut ledger, 1_000, 3_000, 10.0).fraction > 0.2);
}

/// Guards against a write to the store for each change of a fraction.
#[test]
fn only_large_changes_are_stored() {
    let mut ledger = ledger(IndexMap::new());
    report(&mut ledger, 100, 2_000, 50.0);
    assert_eq!(ledger.take_stored(), None);
    report(&mut ledger, 2_000, 30_000, 400.0);
    assert!(ledger.take_stored().unwrap()[&tenant()] < 0.5);
    report(&mut ledger, 30_000, 40_000, 420.0);
    assert_eq!(ledger.take_stored(), None, "a small change");
}

/// Guards against refusing small requests for the units of large ones, and against a mix that uses more than the fraction.
#[test]
fn small_requests_are_admitted_before_large_ones() {
    let mut meter = QuotaMeter::default();
    let (mut asked, mut admitted, mut small) = (0.0, 0.0, 0);
    for index in 0..4_000_u32 {
        let now = at(u64::from(index) * 10);
        meter.take_report(now);
        meter.apply(&update(0.5, 0.5, 100.0, 100.0), now);
        let cost = if index % 2 == 0 { 1.0 } else { 9.0 };
        let draw = f64::from(index.wrapping_mul(2_654_435_769)) / f64::from(u32::MAX);
        let is_admitted = is_admitted(&mut meter, cost, draw, now);
        // The first requests show which sizes are usual.
        if index >= 1_000 {
            asked += cost;
            admitted += if is_admitted { cost } else { 0.0 };
            small += u32::from(is_admitted && cost < 2.0);
        }
    }
    assert_eq!(small, 1_500, "a small request is refused");
    assert!((0.4..0.6).contains(&(admitted / asked)), "{admitted} of {asked} units are admitted");
}

/// Guards against a request that states an absurd size and keeps its tenant out for hours.
#[test]
fn an_absurd_size_keeps_a_tenant_out_for_three_windows_at_most() {
    let mut ledger = ledger(IndexMap::new());
    let instance: InstanceId = "i1".parse().unwrap();
    let usage = TenantUsage { tenant: tenant(), asked: 1e12, admitted: 1e12 };
    ledger.report(&instance, &UsageReport { elapsed: Millis(100), tenants: vec![usage] }, at(100));
    let grant = report(&mut ledger, 200, 200 + 3 * 8_000, 10.0);
    assert!(grant.level > -TERMS.window.as_secs_f64() as f32 * 100.0, "{grant:?}");
}

/// Guards against token counts whose sum overflows, so that a request counts as nothing.
#[test]
fn the_cost_of_huge_token_counts_does_not_overflow() {
    let head =
        RequestHead { states_tokens: true, prompt_tokens: u64::MAX, max_output: 1, ..RequestHead::default() };
    let quota = Quota { unit: QuotaUnit::Tokens { plain: Tokens(200) }, ..QUOTA };
    assert!(quota.cost(&head) >= u64::MAX as f64);
    assert_eq!(head.work(), u64::MAX);
}

/// Guards against a new term that gives a tenant units again that it has used in the term before.
#[test]
fn a_new_term_starts_no_higher_than_the_level_before() {
    let levels = IndexMap::from([(tenant(), -60.0)]);
    let mut ledger = QuotaLedger::new(TERMS, IndexMap::new(), START).with_levels(levels);
    ledger.set_quotas(TERMS, [(&tenant(), QUOTA)].into_iter());
    let grant = report(&mut ledger, 100, 200, 10.0);
    assert!(grant.level < -40.0, "{grant:?}");
}
