//! Stand-in for the platform's instance list.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use bpaf::Bpaf;
use carobwick_runtime::ListedInstance;
use carobwick_standins::InstancesStandin;
use carobwick_standins::parse_faults;
use carobwick_standins::run_until_interrupted;

/// Serves a list of instances and accepts changes to it.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    addr: SocketAddr,
    /// JSON file with the initial list; without it, the list is empty
    #[bpaf(argument("FILE"))]
    file: Option<PathBuf>,
    /// Milliseconds until a change becomes visible
    #[bpaf(argument("MS"), fallback(0))]
    lag_ms: u64,
    /// Initial faults as JSON, as in the body of `POST /faults`
    #[bpaf(argument("JSON"))]
    faults: Option<String>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let _logs = carobwick_runtime::start_logs("info", carobwick_runtime::LogOutput::Stderr)?;
    let faults = parse_faults(options.faults.as_deref())?;
    let initial = options.file.map_or_else(|| Ok(Vec::new()), |file| read_list(&file))?;
    let lag = Duration::from_millis(options.lag_ms);
    let instances = InstancesStandin::spawn(options.addr, initial, lag, faults).await?;
    run_until_interrupted("standin-instances", instances.server().addr()).await
}

fn read_list(file: &std::path::Path) -> anyhow::Result<Vec<ListedInstance>> {
    let text = std::fs::read(file).with_context(|| format!("failed to read {}", file.display()))?;
    serde_json::from_slice(&text).with_context(|| format!("{} is not a list of instances", file.display()))
}
