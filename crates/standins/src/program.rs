use std::net::SocketAddr;

use serde::de::DeserializeOwned;

/// Parses the fault switches of a command line, a JSON body as `POST /faults` takes it.
///
/// # Errors
///
/// Fails if the text is not JSON or names an unknown switch.
pub fn parse_faults<T: DeserializeOwned>(text: Option<&str>) -> anyhow::Result<T> {
    serde_json::from_str(text.unwrap_or("{}")).map_err(|err| anyhow::anyhow!("--faults: {err}"))
}

/// Prints the address of a stand-in and waits until the process is interrupted.
///
/// # Errors
///
/// Fails if the signals can't be received.
pub async fn run_until_interrupted(name: &str, addr: SocketAddr) -> anyhow::Result<()> {
    println!("{name} listens on {addr}");
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        interrupted = tokio::signal::ctrl_c() => interrupted?,
    }
    Ok(())
}
