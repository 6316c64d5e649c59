use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;

use anyhow::Context;
use bpaf::Bpaf;
use bpaf::Parser;
use carobwick_core::InstanceId;
use carobwick_core::ZoneId;

/// Decides which models are resident in an availability zone, and exchanges configuration with its peers.
///
/// Each option can also be given as the environment variable that its help names. The option has precedence.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, generate(options))]
pub struct Settings {
    /// Name of this instance in the instance list
    #[bpaf(external(instance))]
    pub instance: InstanceId,
    /// Availability zone of this instance
    #[bpaf(external(zone))]
    pub zone: ZoneId,
    /// Address to serve peers on
    #[bpaf(external(peer))]
    pub peer: SocketAddr,
    /// Address to serve the operator API on
    #[bpaf(external(operators))]
    pub operators: SocketAddr,
    /// Address of the key-value service, such as `http://10.0.0.1:2379`
    #[bpaf(env("CAROBWICK_KEY_VALUE"), argument("URL"))]
    pub key_value: String,
    /// Address of the instance list, such as `http://10.0.0.2:80`
    #[bpaf(env("CAROBWICK_INSTANCES"), argument("URL"))]
    pub instances: String,
    /// Peer address of another planner, to contact first; can be repeated, or separated by commas
    #[bpaf(external(seeds))]
    pub seeds: Vec<SocketAddr>,
    /// Log filter, such as `info` or `carobwick_planner=debug`
    #[bpaf(env("CAROBWICK_LOG"), argument("FILTER"), fallback("info".to_owned()), display_fallback)]
    pub log: String,
    /// Check the settings and exit
    #[bpaf(env("CAROBWICK_CHECK"), switch)]
    pub check: bool,
}

impl Settings {
    /// Reads the settings from the command line and the environment; ends the process if they can't be
    /// parsed.
    pub fn read() -> Self {
        options().run()
    }

    /// Checks the conditions that the types of the values don't ensure.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first invalid or contradictory setting.
    pub fn validate(&self) -> anyhow::Result<()> {
        check_url(&self.key_value).context("--key-value")?;
        check_url(&self.instances).context("--instances")?;
        anyhow::ensure!(
            self.peer.port() == 0 || self.peer != self.operators,
            "--operators: {} is also the address of --peer",
            self.operators
        );
        anyhow::ensure!(
            self.key_value != self.instances,
            "--instances: {} is also the address of --key-value",
            self.instances
        );
        for seed in &self.seeds {
            anyhow::ensure!(seed.port() != 0, "--seeds: {seed} has no port");
            anyhow::ensure!(*seed != self.peer, "--seeds: {seed} is the address of --peer");
        }
        Ok(())
    }
}

fn instance() -> impl Parser<InstanceId> {
    let flag = bpaf::long("instance").help("Name of this instance in the instance list");
    parse_named("--instance", flag.env("CAROBWICK_INSTANCE").argument("ID"))
}

fn zone() -> impl Parser<ZoneId> {
    let flag = bpaf::long("zone").help("Availability zone of this instance");
    parse_named("--zone", flag.env("CAROBWICK_ZONE").argument("ZONE"))
}

fn peer() -> impl Parser<SocketAddr> {
    let flag = bpaf::long("peer").help("Address to serve peers on");
    parse_named("--peer", flag.env("CAROBWICK_PEER").argument("IP:PORT"))
}

fn operators() -> impl Parser<SocketAddr> {
    let flag = bpaf::long("operators").help("Address to serve the operator API on");
    parse_named("--operators", flag.env("CAROBWICK_OPERATORS").argument("IP:PORT"))
}

/// Parses the text of a setting and adds its name to the error, since bpaf's own error contains only the
/// value.
fn parse_named<T>(name: &'static str, text: impl Parser<String>) -> impl Parser<T>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse(move |text| text.parse().map_err(|err| format!("{name}: `{text}`: {err}")))
}

fn seeds() -> impl Parser<Vec<SocketAddr>> {
    let given = bpaf::long("seeds")
        .help("Peer address of another planner, to contact first; can be repeated, or separated by commas")
        .env("CAROBWICK_SEEDS")
        .argument::<String>("IP:PORT")
        .many();
    given.parse(|texts| {
        let parts = texts.iter().flat_map(|text| text.split(',')).map(str::trim);
        let parts = parts.filter(|part| !part.is_empty());
        parts.map(|part| part.parse().map_err(|err| format!("--seeds: `{part}`: {err}"))).collect()
    })
}

fn check_url(url: &str) -> anyhow::Result<()> {
    let rest = url.strip_prefix("http://").with_context(|| format!("`{url}` does not start with http://"))?;
    let addr = rest.strip_suffix('/').unwrap_or(rest);
    let addr: SocketAddr = addr.parse().with_context(|| format!("`{url}` is not http://IP:PORT"))?;
    anyhow::ensure!(addr.port() != 0, "`{url}` has no port");
    Ok(())
}
