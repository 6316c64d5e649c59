use tracing_subscriber::EnvFilter;

/// Starts structured logs on standard error, as JSON lines.
///
/// `filter` has the form of `RUST_LOG`, such as `info` or `carobwick_entry=debug`.
///
/// # Errors
///
/// Fails if the filter can't be parsed or logs were started before.
pub fn start_logs(filter: &str) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(filter)?;
    let started =
        tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).json().try_init();
    started.map_err(|err| anyhow::anyhow!("logs: {err}"))
}
