//! Stand-in for one replica of a plain service.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use carobwick_core::EndpointId;
use carobwick_core::ServiceId;
use carobwick_standins::ServiceOptions;
use carobwick_standins::ServiceStandin;
use carobwick_standins::parse_faults;
use carobwick_standins::run_until_interrupted;

/// Serves as a plain service that accepts requests to any path.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    addr: SocketAddr,
    /// Name of the endpoint
    #[bpaf(argument("NAME"))]
    endpoint: EndpointId,
    /// Service of the endpoint
    #[bpaf(argument("NAME"))]
    service: ServiceId,
    /// Duration of one request in milliseconds
    #[bpaf(argument("MS"), fallback(2))]
    delay_ms: u64,
    /// Maximum number of requests that run at once; further requests are refused
    #[bpaf(argument("COUNT"), fallback(64))]
    slots: u32,
    /// Send no load reports
    no_load: bool,
    /// Initial faults as JSON, as in the body of `POST /faults`
    #[bpaf(argument("JSON"))]
    faults: Option<String>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let _logs = carobwick_runtime::start_logs("info", carobwick_runtime::LogOutput::Stderr)?;
    let faults = parse_faults(options.faults.as_deref())?;
    let service = ServiceOptions {
        endpoint: options.endpoint,
        service: options.service,
        delay: Duration::from_millis(options.delay_ms),
        slots: options.slots,
        reports_load: !options.no_load,
    };
    let service = ServiceStandin::spawn(options.addr, service, faults).await?;
    run_until_interrupted("standin-service", service.server().addr()).await
}
