//! Memory charged to an engine by open, late and repeated orders, and after restarts.

use carobwick_core::Account;
use carobwick_core::Action;
use carobwick_core::Bytes;
use carobwick_core::EngineState;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_core::OrderResult;
use carobwick_core::Resident;
use carobwick_core::Role;
use carobwick_core::Time;

fn load(model: &str, size: u64, number: u64) -> Order {
    let (model, version) = (model.parse().unwrap(), "1".parse().unwrap());
    let action = Action::Load { model, version, size: Bytes(size), base: None };
    Order { id: OrderId(number), fence: Fence(number), expires_ms: 5_000, action }
}

fn unload(model: &str, number: u64) -> Order {
    let action = Action::Unload { model: model.parse().unwrap(), version: "1".parse().unwrap() };
    Order { id: OrderId(number), fence: Fence(number), expires_ms: 5_000, action }
}

fn state(incarnation: u64, fence: u64, resident: &[(&str, u64)]) -> EngineState {
    let resident = resident.iter().map(|(model, size)| Resident {
        model: model.parse().unwrap(),
        version: "1".parse().unwrap(),
        size: Bytes(*size),
    });
    EngineState {
        incarnation: Incarnation(incarnation),
        fence: Fence(fence),
        memory: Bytes(100),
        resident: resident.collect(),
        loading: Vec::new(),
        running: 0,
        queued: 0,
        role: Role::Mixed,
        results: Vec::new(),
    }
}

/// Guards against a second load into memory that an open load may still take.
#[test]
fn open_load_is_charged_until_the_state_shows_its_fence() {
    let mut account = Account::new(Bytes(100), true);
    account.observe(&state(1, 0, &[]), Time(1), 0);
    account.add_order(load("m", 60, 1));
    assert_eq!(account.charged(), Bytes(60));
    account.observe(&state(1, 0, &[]), Time(2), 100);
    assert_eq!(account.charged(), Bytes(60), "the fencing number of the state is lower");
    account.observe(&state(1, 1, &[]), Time(3), 200);
    assert_eq!(account.charged(), Bytes(0), "the engine received the order and could not carry it out");
}

/// Guards against a repeated order that takes effect after its first effect was undone, on an engine that
/// ignores fencing numbers.
#[test]
fn order_to_an_engine_without_fencing_settles_by_expiry_only() {
    let mut account = Account::new(Bytes(100), false);
    account.observe(&state(1, 0, &[]), Time(1), 0);
    account.add_order(load("m", 60, 1));
    account.observe(&state(1, 9, &[]), Time(2), 9_000);
    assert!(!account.is_settled(), "the order can arrive until 4 s after its expiry");
    account.observe(&state(1, 0, &[]), Time(3), 9_001);
    assert!(account.is_settled());
    assert_eq!(account.charged(), Bytes(0));
}

/// Guards against memory that is granted to a load before the engine has freed it.
#[test]
fn unload_frees_nothing_until_a_state_confirms_it() {
    let mut account = Account::new(Bytes(100), true);
    account.observe(&state(1, 0, &[("m", 60)]), Time(1), 0);
    account.add_order(unload("m", 1));
    assert_eq!(account.free(), Bytes(40));
    let mut waiting = state(1, 1, &[("m", 60)]);
    waiting.results.push(OrderResult { id: OrderId(1), outcome: OrderOutcome::Started });
    account.observe(&waiting, Time(2), 20_000);
    assert!(!account.is_settled(), "the unload waits for requests in flight");
    account.observe(&state(1, 1, &[]), Time(3), 20_100);
    assert!(account.is_settled());
    assert_eq!(account.free(), Bytes(100));
}

/// Guards against orders to one incarnation of an engine that reach the next one, which does not know their
/// fencing number.
#[test]
fn restart_reopens_orders_in_flight() {
    let mut account = Account::new(Bytes(100), true);
    account.observe(&state(1, 0, &[]), Time(1), 0);
    account.add_order(load("m", 60, 1));
    account.observe(&state(1, 1, &[("m", 60)]), Time(2), 100);
    assert!(account.is_settled());
    assert!(account.observe(&state(2, 0, &[]), Time(3), 200));
    assert_eq!(account.charged(), Bytes(60), "a repeated order may still load the model");
    account.observe(&state(2, 0, &[]), Time(4), 9_001);
    assert_eq!(account.charged(), Bytes(0));
}

/// Guards against two loads that don't fit together and both reach a new incarnation, the later one first.
#[test]
fn loads_in_flight_must_fit_together() {
    let mut account = Account::new(Bytes(100), true);
    account.observe(&state(1, 0, &[]), Time(1), 0);
    account.add_order(load("m", 60, 1));
    account.observe(&state(1, 1, &[("m", 60)]), Time(2), 100);
    account.add_order(unload("m", 2));
    account.observe(&state(1, 2, &[]), Time(3), 200);
    assert_eq!(account.charged(), Bytes(0));
    assert!(!account.fits(Bytes(60)), "the first load can still reach a new incarnation");
    account.observe(&state(1, 2, &[]), Time(4), 9_001);
    assert!(account.fits(Bytes(60)));
}

/// Guards against an older state that arrives late and hides a load.
#[test]
fn older_state_is_ignored() {
    let mut account = Account::new(Bytes(100), true);
    account.observe(&state(1, 1, &[("m", 60)]), Time(2), 200);
    account.observe(&state(1, 0, &[]), Time(1), 100);
    assert_eq!(account.charged(), Bytes(60));
}

/// Guards against a load beyond the memory of the engine, whatever part of the code decides on it (I1).
#[test]
#[should_panic(expected = "does not fit")]
fn load_beyond_free_memory_is_not_granted() {
    let mut account = Account::new(Bytes(100), true);
    account.observe(&state(1, 0, &[("m", 60)]), Time(1), 0);
    account.add_order(load("n", 41, 1));
}
