//! Runs seeds of an area for a given time and prints each failing seed, or replays one seed with its trace.

use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use carobwick_proof::Area;

/// Runs randomized simulations of carobwick's decision code
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Area to run: config, delivery, planner or quarantine; all areas if omitted
    #[bpaf(argument("AREA"))]
    area: Option<Area>,
    /// Replay this seed and print its trace
    #[bpaf(argument("SEED"))]
    seed: Option<u64>,
    /// First seed of a series
    #[bpaf(argument("SEED"), fallback(1))]
    first: u64,
    /// Seconds to run each area
    #[bpaf(argument("SECONDS"), fallback(10))]
    seconds: u64,
    /// Number of steps for each seed
    #[bpaf(argument("COUNT"), fallback(2_000))]
    steps: u64,
}

fn main() -> anyhow::Result<()> {
    let options = options().run();
    let areas = options.area.map_or_else(|| Area::ALL.to_vec(), |area| vec![area]);
    let failed = match options.seed {
        Some(seed) => areas.iter().map(|area| replay(*area, seed, options.steps)).sum::<u64>(),
        None => areas.iter().map(|area| run_seeds(*area, &options)).sum::<u64>(),
    };
    anyhow::ensure!(failed == 0, "{failed} seeds failed");
    Ok(())
}

fn replay(area: Area, seed: u64, steps: u64) -> u64 {
    let report = area.run(seed, steps);
    for line in report.trace.lines() {
        println!("{line}");
    }
    for violation in &report.violations {
        println!("violation: {violation}");
    }
    println!("{area} seed {seed}: {report}");
    u64::from(!report.is_clean())
}

fn run_seeds(area: Area, options: &Options) -> u64 {
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let (mut seeds, mut steps, mut faults, mut failed) = (0, 0, 0, 0);
    for seed in options.first.. {
        let report = area.run(seed, options.steps);
        seeds += 1;
        steps += report.steps;
        faults += report.faults;
        if let Some(violation) = report.violations.first() {
            failed += 1;
            println!("{area} seed {seed}: {violation}");
        }
        if Instant::now() >= end {
            break;
        }
    }
    println!("{area}: {seeds} seeds, {steps} steps, {faults} faults, {failed} seeds failed");
    failed
}
