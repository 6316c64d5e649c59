//! Runs an entry until SIGTERM or SIGINT.

use carobwick_entry::Entry;
use carobwick_entry::settings;
use carobwick_runtime::LogOutput;
use carobwick_runtime::start_logs;
use mimalloc::MiMalloc;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let settings = settings().run();
    settings.validate()?;
    if settings.check {
        return Ok(());
    }
    let _logs = start_logs(&settings.log, LogOutput::Stdout)?;
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let mut entry = Entry::bind(settings).await?;
    tokio::select! {
        result = entry.wait_failed() => return result,
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    entry.shutdown().await;
    Ok(())
}
