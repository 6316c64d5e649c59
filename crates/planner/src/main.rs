//! The planner process; see `carobwick-planner --help`.

use std::process::ExitCode;

use carobwick_planner::Planner;
use carobwick_planner::Settings;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for invalid settings, `EX_USAGE` of `sysexits.h`.
const EXIT_USAGE: u8 = 64;

fn main() -> anyhow::Result<ExitCode> {
    let settings = Settings::read();
    if let Err(err) = settings.validate() {
        eprintln!("{err:#}");
        return Ok(ExitCode::from(EXIT_USAGE));
    }
    if settings.check {
        return Ok(ExitCode::SUCCESS);
    }
    let _logs = carobwick_runtime::start_logs(&settings.log, carobwick_runtime::LogOutput::Stdout)?;
    run(settings)
}

// The process uses at most 1% of a core, so two threads suffice. One thread per core would cost memory for
// each.
#[tokio::main(worker_threads = 2)]
async fn run(settings: Settings) -> anyhow::Result<ExitCode> {
    let mut planner = Planner::start(settings).await?;
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    tokio::select! {
        ended = planner.wait_ended() => {
            ended?;
            anyhow::bail!("planner: all tasks ended");
        }
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tracing::info!("planner: stopping");
    planner.stop().await?;
    tracing::info!("planner: stopped");
    Ok(ExitCode::SUCCESS)
}
