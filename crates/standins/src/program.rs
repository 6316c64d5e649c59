use std::net::SocketAddr;

use serde::de::DeserializeOwned;

/// Parses the value of `--faults`, which is JSON as in the body of `POST /faults`; without a value, no fault
/// is on.
///
/// # Errors
///
/// Fails if the text is not JSON or names an unknown fault.
pub fn parse_faults<T: DeserializeOwned>(text: Option<&str>) -> anyhow::Result<T> {
    serde_json::from_str(text.unwrap_or("{}")).map_err(|err| anyhow::anyhow!("--faults: {err}"))
}

/// Prints the name and address of a stand-in and waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if a signal handler can't be installed.
pub async fn run_until_interrupted(name: &str, addr: SocketAddr) -> anyhow::Result<()> {
    println!("{name} listens on {addr}");
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
