use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

/// Kinds of faults.
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

/// A fault that holds or happens from `start` on, in microseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Episode {
    pub fault: Fault,
    pub start: u64,
    pub end: u64,
}

const ALL: [Fault; 17] = [
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

/// Draws the faults of a run that end before `end`: one kind alone, two kinds at the same time, one kind twice in a
/// row, or any; again and again, slowly or fast. Changes are mixed in, since orders are given only if something changes.
pub(super) fn draw(rng: &mut ChaCha8Rng, end: u64) -> Vec<Episode> {
    let form = rng.random_range(0..4);
    let kinds = [pick(rng), pick(rng)];
    let changes: &[Fault] = match rng.random_range(0..6) {
        0 => &[],
        1 => &[Fault::ChangeManifest],
        2 => &[Fault::RestartEngine],
        3 => &[Fault::Drain],
        4 => &[Fault::ChangeManifest, Fault::Drain],
        _ => &[Fault::ChangeManifest, Fault::RestartEngine, Fault::Drain],
    };
    let longest = if rng.random_bool(0.5) { 4 * SECOND } else { 20 * SECOND };
    let mut episodes = Vec::new();
    // Late and repeated orders are what most rules guard against, so some runs have them all the time.
    for fault in [Fault::DelayOrders, Fault::RepeatOrders] {
        if rng.random_bool(0.4) {
            push(&mut episodes, fault, 0, end, end);
        }
    }
    let mut at = 2 * SECOND;
    while at < end {
        let first = if form == 3 { pick(rng) } else { kinds[0] };
        push(&mut episodes, first, at, rng.random_range(SECOND / 2..12 * SECOND), end);
        let second = match form {
            0 => None,
            1 => Some(kinds[1]),
            2 => Some(kinds[0]),
            _ => Some(pick(rng)),
        };
        if let Some(second) = second {
            let later = rng.random_range(0..6 * SECOND);
            push(&mut episodes, second, at + later, rng.random_range(SECOND / 2..12 * SECOND), end);
        }
        if let Some(change) = changes.choose(rng) {
            let later = rng.random_range(0..4 * SECOND);
            push(&mut episodes, *change, at + later, rng.random_range(SECOND..8 * SECOND), end);
        }
        at += rng.random_range(SECOND / 2..longest);
    }
    episodes.sort_by_key(|episode| episode.start);
    episodes
}

fn push(episodes: &mut Vec<Episode>, fault: Fault, start: u64, length: u64, end: u64) {
    if start < end {
        episodes.push(Episode { fault, start, end: (start + length).min(end) });
    }
}

fn pick(rng: &mut ChaCha8Rng) -> Fault {
    *ALL.choose(rng).unwrap_or(&Fault::KillPlanner)
}
