use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use bpaf::Parser;
use carobwick_core::InstanceId;
use carobwick_core::Millis;
use carobwick_core::ZoneId;

use crate::Error;
use crate::Result;

/// Routes callers' requests to the endpoints of a deployment.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Settings {
    /// Name of this instance
    #[bpaf(env("CAROBWICK_INSTANCE"), argument("ID"))]
    pub instance: InstanceId,
    /// Availability zone of this instance
    #[bpaf(env("CAROBWICK_ZONE"), argument("ZONE"))]
    pub zone: ZoneId,
    /// Address for callers
    #[bpaf(env("CAROBWICK_CALLERS"), argument("IP:PORT"))]
    pub callers: SocketAddr,
    /// Address for operators
    #[bpaf(env("CAROBWICK_OPERATORS"), argument("IP:PORT"))]
    pub operators: SocketAddr,
    /// Peer address of this instance's planner
    #[bpaf(env("CAROBWICK_PLANNER"), argument("IP:PORT"))]
    pub planner: SocketAddr,
    /// Peer addresses of other planners of the zone, in order of preference
    #[bpaf(external(fallbacks))]
    pub fallbacks: Vec<SocketAddr>,
    /// Base URL of the key-value service
    #[bpaf(env("CAROBWICK_KEY_VALUE"), argument("URL"))]
    pub key_value: String,
    /// Limits of requests and connections
    #[bpaf(external)]
    pub limits: Limits,
    /// Filter of the logs, in the form of `RUST_LOG`
    #[bpaf(env("CAROBWICK_LOG"), argument("FILTER"), fallback("info".to_owned()))]
    pub log: String,
    /// Validate the settings and exit
    #[bpaf(env("CAROBWICK_CHECK"), switch)]
    pub check: bool,
}

/// Limits that keep one caller or endpoint from exhausting shared resources.
#[derive(Debug, Clone, Bpaf)]
pub struct Limits {
    /// Largest body of a request, in bytes
    #[bpaf(env("CAROBWICK_MAX_BODY"), argument("BYTES"), fallback(4 << 20), display_fallback)]
    pub max_body: usize,
    /// Largest head of a request, in bytes
    #[bpaf(env("CAROBWICK_MAX_HEAD"), argument("BYTES"), fallback(32 << 10), display_fallback)]
    pub max_head: usize,
    /// Largest response that is not streamed, in bytes
    #[bpaf(env("CAROBWICK_MAX_ANSWER"), argument("BYTES"), fallback(8 << 20), display_fallback)]
    pub max_answer: usize,
    /// Maximum number of requests in flight
    #[bpaf(env("CAROBWICK_MAX_REQUESTS"), argument("COUNT"), fallback(8_192), display_fallback)]
    pub max_requests: usize,
    /// Milliseconds in which a caller must send the first bytes on a connection, and the body of a request
    #[bpaf(env("CAROBWICK_READ_TIMEOUT"), argument("MS"), fallback(Millis(10_000)), display_fallback)]
    pub read_timeout: Millis,
    /// Milliseconds after which a connection without the complete head of a next request is closed; should exceed
    /// the idle timeout of the load balancer, which otherwise sends requests to connections that are being closed
    #[bpaf(env("CAROBWICK_IDLE_TIMEOUT"), argument("MS"), fallback(Millis(75_000)), display_fallback)]
    pub idle_timeout: Millis,
    /// Milliseconds after which a request without a first event or a complete response fails
    #[bpaf(env("CAROBWICK_DEADLINE"), argument("MS"), fallback(Millis(60_000)), display_fallback)]
    pub deadline: Millis,
    /// Milliseconds after which a stream is ended, counted from its first event
    #[bpaf(env("CAROBWICK_STREAM_LIMIT"), argument("MS"), fallback(Millis(600_000)), display_fallback)]
    pub stream_limit: Millis,
    /// Milliseconds between the loss of readiness and the refusal of new connections at a shutdown
    #[bpaf(env("CAROBWICK_STOP_DELAY"), argument("MS"), fallback(Millis(2_000)), display_fallback)]
    pub stop_delay: Millis,
    /// Maximum number of attempts of a repeatable request, including the first
    #[bpaf(env("CAROBWICK_ATTEMPTS"), argument("COUNT"), fallback(3), display_fallback)]
    pub attempts: u32,
    /// Requests with an idempotency key per second; each costs two writes to the key-value service
    #[bpaf(env("CAROBWICK_ONCE_RATE"), argument("COUNT"), fallback(30), display_fallback)]
    pub once_rate: u32,
}

impl Settings {
    /// Checks that the settings are within their ranges and don't contradict each other.
    ///
    /// # Errors
    ///
    /// Fails with the name of the first invalid setting.
    pub fn validate(&self) -> Result<()> {
        if self.callers == self.operators && self.callers.port() != 0 {
            return Err(Error::setting(
                "operators",
                format!("{} is the address for callers", self.operators),
            ));
        }
        let own = [self.callers, self.operators];
        if own.contains(&self.planner) {
            return Err(Error::setting("planner", format!("{} is an address of this entry", self.planner)));
        }
        for (index, fallback) in self.fallbacks.iter().enumerate() {
            let known = *fallback == self.planner || own.contains(fallback);
            if known || self.fallbacks[..index].contains(fallback) {
                return Err(Error::setting("fallback", format!("{fallback} is given twice")));
            }
        }
        let authority = self.key_value.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
        if authority.is_none_or(|rest| rest.is_empty() || rest.contains('/')) {
            return Err(Error::setting(
                "key-value",
                format!("`{}` is not `http://HOST:PORT`", self.key_value),
            ));
        }
        self.limits.validate()
    }
}

impl FromStr for Settings {
    type Err = Error;

    /// Parses a command line whose arguments are separated by spaces.
    fn from_str(line: &str) -> Result<Self> {
        let args: Vec<&str> = line.split_whitespace().collect();
        let parsed = settings().run_inner(args.as_slice());
        parsed.map_err(|err| Error::setting("command line", err.unwrap_stderr()))
    }
}

impl Limits {
    fn validate(&self) -> Result<()> {
        let counts = [
            ("max-body", self.max_body as u64, 1 << 30),
            ("max-head", self.max_head as u64, 1 << 20),
            ("max-answer", self.max_answer as u64, 1 << 30),
            ("max-requests", self.max_requests as u64, 1 << 20),
            ("read-timeout", self.read_timeout.0, 3_600_000),
            ("idle-timeout", self.idle_timeout.0, 3_600_000),
            ("deadline", self.deadline.0, 3_600_000),
            ("stream-limit", self.stream_limit.0, 86_400_000),
            ("attempts", u64::from(self.attempts), 10),
            ("once-rate", u64::from(self.once_rate), 10_000),
        ];
        if let Some((name, value, max)) =
            counts.into_iter().find(|(_, value, max)| !(1..=*max).contains(value))
        {
            return Err(Error::setting(name, format!("{value} is not in 1..={max}")));
        }
        if self.max_head < 8_192 {
            return Err(Error::setting("max-head", "must be at least 8192"));
        }
        if self.stop_delay.duration() > Duration::from_mins(1) {
            return Err(Error::setting("stop-delay", "must be at most 60000"));
        }
        if self.stream_limit < self.deadline {
            return Err(Error::setting("stream-limit", "must not be below deadline"));
        }
        Ok(())
    }
}

fn fallbacks() -> impl Parser<Vec<SocketAddr>> {
    bpaf::long("fallback")
        .env("CAROBWICK_FALLBACK")
        .help(
            "Peer address of another planner of the zone; repeatable, the variable takes a list with commas",
        )
        .argument::<String>("IP:PORT")
        .parse(|text| text.split(',').map(str::parse).collect::<std::result::Result<Vec<SocketAddr>, _>>())
        .many()
        .map(|lists| lists.into_iter().flatten().collect())
}
