//! Tests of the memory budget: which requests are shed when the memory is used up.

use std::time::Duration;

use carobwick_core::Time;
use carobwick_core::gateway::AccountId;
use carobwick_core::gateway::MemoryBudget;
use carobwick_core::gateway::MemoryUse;
use carobwick_core::gateway::Resize;

const KIB: usize = 1 << 10;
const LIMIT: usize = 100 * KIB;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Opens an account of a size at a time.
fn open(budget: &mut MemoryBudget, purpose: MemoryUse, bytes: usize, millis: u64) -> AccountId {
    let id = budget.open(purpose, at(millis));
    assert_eq!(budget.resize(id, bytes, at(millis)), Resize::Granted);
    id
}

/// Guards against shedding a caller that makes progress while others keep memory without any.
#[test]
fn the_account_that_has_stalled_longest_is_shed_first() {
    let mut budget = MemoryBudget::new(LIMIT);
    let first = open(&mut budget, MemoryUse::Receiving, 30 * KIB, 0);
    let second = open(&mut budget, MemoryUse::Receiving, 30 * KIB, 100);
    let third = open(&mut budget, MemoryUse::Receiving, 30 * KIB, 200);
    budget.record_moved(first, 30 * KIB, at(2_000));
    assert_eq!(budget.resize(first, 60 * KIB, at(2_000)), Resize::Shed(second));
    assert_eq!(budget.resize(first, 60 * KIB, at(2_000)), Resize::Granted);
    assert_eq!(budget.resize(first, 64 * KIB, at(2_000)), Resize::Granted);
    assert_eq!(budget.used(), 94 * KIB);
    budget.close(third);
    assert_eq!(budget.used(), 64 * KIB);
}

/// Guards against shedding bodies that are nearly whole for those that have just begun, after which none becomes whole.
#[test]
fn the_newest_account_is_shed_while_all_make_progress() {
    let mut budget = MemoryBudget::new(LIMIT);
    let first = open(&mut budget, MemoryUse::Receiving, 50 * KIB, 0);
    let second = open(&mut budget, MemoryUse::Receiving, 50 * KIB, 0);
    assert_eq!(budget.resize(second, 60 * KIB, at(10)), Resize::Shed(second));
    assert_eq!(budget.used(), 50 * KIB);
    let third = budget.open(MemoryUse::Receiving, at(20));
    assert_eq!(budget.resize(first, 60 * KIB, at(20)), Resize::Granted);
    assert_eq!(budget.resize(third, 50 * KIB, at(20)), Resize::Shed(third));
}

/// Guards against refusing a new request that uses nothing, which frees no memory.
#[test]
fn an_account_without_memory_is_not_shed_for_another_one() {
    let mut budget = MemoryBudget::new(LIMIT);
    let first = open(&mut budget, MemoryUse::Receiving, 50 * KIB, 0);
    let second = open(&mut budget, MemoryUse::Receiving, 50 * KIB, 0);
    let _empty = budget.open(MemoryUse::Receiving, at(0));
    assert_eq!(budget.resize(first, 60 * KIB, at(10)), Resize::Shed(second));
}

/// Guards against a refusal of a request that may have been executed: only bodies that are not whole and responses that
/// are not read are shed.
#[test]
fn a_request_that_runs_is_never_shed() {
    let mut budget = MemoryBudget::new(LIMIT);
    let running = open(&mut budget, MemoryUse::Running, 60 * KIB, 0);
    let other = open(&mut budget, MemoryUse::Running, 40 * KIB, 0);
    assert_eq!(budget.resize(other, 60 * KIB, at(5_000)), Resize::Refused);
    let small = budget.open(MemoryUse::Running, at(5_000));
    assert_eq!(
        budget.resize(small, 32 * KIB, at(5_000)),
        Resize::Granted,
        "a small response is always granted"
    );
    budget.set_purpose(running, MemoryUse::Sending, at(5_000));
    assert_eq!(budget.resize(other, 60 * KIB, at(6_000)), Resize::Shed(running));
}

/// Guards against callers that keep memory by a byte a second, since any byte counts as progress.
#[test]
fn a_few_bytes_are_no_progress() {
    let mut budget = MemoryBudget::new(LIMIT);
    let trickling = open(&mut budget, MemoryUse::Receiving, 60 * KIB, 0);
    for second in 1..=3 {
        budget.record_moved(trickling, 1, at(second * 1_000));
    }
    let newest = budget.open(MemoryUse::Receiving, at(3_000));
    assert_eq!(budget.resize(newest, 60 * KIB, at(3_000)), Resize::Shed(trickling));
}

/// Guards against callers that keep all connections with bodies that they do not finish, and against ending a request
/// for a new connection that makes progress or runs.
#[test]
fn a_connection_is_freed_by_the_body_that_has_stalled_longest() {
    let mut budget = MemoryBudget::new(LIMIT);
    let _running = open(&mut budget, MemoryUse::Running, KIB, 0);
    let first = open(&mut budget, MemoryUse::Receiving, 0, 0);
    let second = open(&mut budget, MemoryUse::Receiving, KIB, 0);
    let third = open(&mut budget, MemoryUse::Receiving, KIB, 500);
    assert_eq!(budget.shed_stalled_body(at(999)), None);
    assert_eq!(budget.shed_stalled_body(at(1_000)), Some(first));
    assert_eq!(budget.shed_stalled_body(at(2_000)), Some(second));
    assert_eq!(budget.shed_stalled_body(at(2_000)), Some(third));
    assert_eq!(budget.shed_stalled_body(at(2_000)), None);
}

/// Guards against large bodies that use the whole budget, so that ordinary requests are refused.
#[test]
fn large_accounts_leave_room_for_small_ones() {
    let mut budget = MemoryBudget::new(400 * KIB);
    open(&mut budget, MemoryUse::Running, 300 * KIB, 0);
    let large = budget.open(MemoryUse::Receiving, at(0));
    assert_eq!(budget.resize(large, 65 * KIB, at(0)), Resize::Shed(large));
    open(&mut budget, MemoryUse::Receiving, 64 * KIB, 0);
}

/// Guards against streams that wait for their callers and use more than the budget together, and against cutting off one that
/// its caller reads, or that has only begun to wait.
#[test]
fn unread_streams_beyond_the_budget_are_shed_by_the_length_of_their_pause() {
    let mut budget = MemoryBudget::new(LIMIT);
    let [first, second, third] = [0, 100, 200].map(|millis| {
        let id = budget.open(MemoryUse::Running, at(millis));
        assert_eq!(budget.set_unread(id, 40 * KIB, at(millis)), None);
        id
    });
    let fourth = budget.open(MemoryUse::Running, at(2_000));
    assert_eq!(budget.set_unread(fourth, 40 * KIB, at(2_000)), Some(first));
    assert_eq!(budget.set_unread(fourth, 40 * KIB, at(2_000)), None);
    budget.set_read(second, 0, at(2_000));
    assert_eq!(budget.used(), 80 * KIB);
    let body = budget.open(MemoryUse::Receiving, at(2_000));
    assert_eq!(budget.resize(body, 30 * KIB, at(2_000)), Resize::Shed(third));
    assert_eq!(budget.resize(body, 30 * KIB, at(2_000)), Resize::Granted);
    assert_eq!(budget.used(), 70 * KIB);
}

/// Guards against refusing a stream or shedding it for itself, where nothing else can be shed, and against keeping it when
/// others need memory.
#[test]
fn an_unread_stream_is_shed_only_for_others() {
    let mut budget = MemoryBudget::new(LIMIT);
    let _running = open(&mut budget, MemoryUse::Running, 64 * KIB, 0);
    let stream = budget.open(MemoryUse::Running, at(0));
    assert_eq!(budget.set_unread(stream, 200 * KIB, at(0)), None);
    let request = budget.open(MemoryUse::Running, at(0));
    assert_eq!(budget.resize(request, 10 * KIB, at(0)), Resize::Shed(stream));
    assert_eq!(budget.resize(request, 10 * KIB, at(0)), Resize::Granted);
    assert_eq!(budget.used(), 74 * KIB);
}
