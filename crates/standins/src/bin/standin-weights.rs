//! Stand-in for the platform's weight store.

use std::net::SocketAddr;

use bpaf::Bpaf;
use carobwick_core::Rate;
use carobwick_standins::WeightsOptions;
use carobwick_standins::WeightsStandin;
use carobwick_standins::parse_faults;
use carobwick_standins::run_until_interrupted;

/// Serves loads of models and adapters at a limited rate.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    addr: SocketAddr,
    /// Model loads per second
    #[bpaf(argument("RATE"), fallback(Rate(2.0)))]
    rate: Rate,
    /// Number of concurrent model loads that run at full speed
    #[bpaf(argument("COUNT"), fallback(2))]
    concurrent: u32,
    /// Number of concurrent adapter loads that run at full speed
    #[bpaf(argument("COUNT"), fallback(16))]
    adapter_concurrent: u32,
    /// Initial faults as JSON, as in the body of `POST /faults`
    #[bpaf(argument("JSON"))]
    faults: Option<String>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let _logs = carobwick_runtime::start_logs("info", carobwick_runtime::LogOutput::Stderr)?;
    let faults = parse_faults(options.faults.as_deref())?;
    let limits = WeightsOptions {
        rate: options.rate,
        concurrent: options.concurrent,
        adapter_concurrent: options.adapter_concurrent,
    };
    anyhow::ensure!(
        limits.rate.0 > 0.0 && limits.concurrent > 0,
        "--rate and --concurrent must be above zero"
    );
    let weights = WeightsStandin::spawn(options.addr, limits, faults).await?;
    run_until_interrupted("standin-weights", weights.server().addr()).await
}
