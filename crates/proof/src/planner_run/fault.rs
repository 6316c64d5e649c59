use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Kinds of faults; the names appear in traces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    KillPlanner,
    ReplaceAll,
    FreezeLeader,
    Resign,
    LoseOrders,
    DelayOrders,
    RepeatOrders,
    RestartEngine,
    KvDown,
    KvSlow,
    KvLoseReplies,
    ConfigLag,
    ListLag,
    LosePolls,
    CutZone,
    ChangeManifest,
    Drain,
}

/// A fault that is active from `start` to `end`, or happens once at `start` or soon after; in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct FaultInterval {
    pub fault: Fault,
    pub start: u64,
    pub end: u64,
}

const FAULTS: [Fault; 17] = [
    Fault::KillPlanner,
    Fault::ReplaceAll,
    Fault::FreezeLeader,
    Fault::Resign,
    Fault::LoseOrders,
    Fault::DelayOrders,
    Fault::RepeatOrders,
    Fault::RestartEngine,
    Fault::KvDown,
    Fault::KvSlow,
    Fault::KvLoseReplies,
    Fault::ConfigLag,
    Fault::ListLag,
    Fault::LosePolls,
    Fault::CutZone,
    Fault::ChangeManifest,
    Fault::Drain,
];

const SECOND: u64 = 1_000_000;

/// Draws the faults of a simulation, which end by `end`.
///
/// A simulation repeats, at a low or a high rate, one kind of fault, two kinds together, one kind twice, or
/// any two kinds. Changes are added because planners only send orders if something changes.
pub(super) fn random_intervals(rng: &mut ChaCha8Rng, end: u64) -> Vec<FaultInterval> {
    let pattern = rng.random_range(0..4);
    let kinds = [random_fault(rng), random_fault(rng)];
    let changes: &[Fault] = match rng.random_range(0..6) {
        0 => &[],
        1 => &[Fault::ChangeManifest],
        2 => &[Fault::RestartEngine],
        3 => &[Fault::Drain],
        4 => &[Fault::ChangeManifest, Fault::Drain],
        _ => &[Fault::ChangeManifest, Fault::RestartEngine, Fault::Drain],
    };
    let max_pause = if rng.random_bool(0.5) { 4 * SECOND } else { 20 * SECOND };
    let mut intervals = Vec::new();
    // Most rules guard against late and duplicate orders, so some simulations have them all the time.
    for fault in [Fault::DelayOrders, Fault::RepeatOrders] {
        if rng.random_bool(0.4) {
            add_interval(&mut intervals, fault, 0, end, end);
        }
    }
    let mut at = 2 * SECOND;
    while at < end {
        let first = if pattern == 3 { random_fault(rng) } else { kinds[0] };
        add_interval(&mut intervals, first, at, rng.random_range(SECOND / 2..12 * SECOND), end);
        let second = match pattern {
            0 => None,
            1 => Some(kinds[1]),
            2 => Some(kinds[0]),
            _ => Some(random_fault(rng)),
        };
        if let Some(second) = second {
            let offset = rng.random_range(0..6 * SECOND);
            add_interval(&mut intervals, second, at + offset, rng.random_range(SECOND / 2..12 * SECOND), end);
        }
        if let Some(change) = changes.choose(rng) {
            let offset = rng.random_range(0..4 * SECOND);
            add_interval(&mut intervals, *change, at + offset, rng.random_range(SECOND..8 * SECOND), end);
        }
        at += rng.random_range(SECOND / 2..max_pause);
    }
    intervals.sort_by_key(|interval| interval.start);
    intervals
}

fn add_interval(intervals: &mut Vec<FaultInterval>, fault: Fault, start: u64, length: u64, end: u64) {
    if start < end {
        intervals.push(FaultInterval { fault, start, end: (start + length).min(end) });
    }
}

fn random_fault(rng: &mut ChaCha8Rng) -> Fault {
    *FAULTS.choose(rng).unwrap_or(&Fault::KillPlanner)
}
