//! Stand-in for the platform's key-value service.

use std::net::SocketAddr;

use bpaf::Bpaf;
use carobwick_standins::KvStandin;
use carobwick_standins::parse_faults;
use carobwick_standins::run_until_interrupted;

/// Serves an empty key-value store in the JSON form of the etcd v3 API.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("IP:PORT"))]
    addr: SocketAddr,
    /// Initial faults as JSON, as in the body of `POST /faults`
    #[bpaf(argument("JSON"))]
    faults: Option<String>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = options().run();
    let _logs = carobwick_runtime::start_logs("info", carobwick_runtime::LogOutput::Stderr)?;
    let kv = KvStandin::spawn(options.addr, parse_faults(options.faults.as_deref())?).await?;
    run_until_interrupted("standin-kv", kv.server().addr()).await
}
