use std::time::Duration;

use carobwick_core::ServiceId;
use carobwick_core::gateway::OrderReply;
use carobwick_core::gateway::Pace;
use carobwick_core::gateway::SendOutcome;
use carobwick_runtime::Metrics;
use http::StatusCode;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;

/// Upper bounds of the buckets for the time to first output.
const FIRST_OUTPUT_BUCKETS_SECONDS: [f64; 11] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 15.0];

/// Upper bounds of the buckets for the time that work takes at endpoints, relative to the usual time.
const PACE_BUCKETS: [f64; 9] = [0.5, 0.7, 0.9, 1.1, 1.4, 2.0, 3.0, 5.0, 10.0];

/// Counters, gauges and histograms of an instance.
pub(crate) struct Meters {
    metrics: Metrics,
    requests: Counter<u64>,
    first_output: Histogram<f64>,
    sends: Counter<u64>,
    orders: Counter<u64>,
    leading: Gauge<u64>,
    version: Gauge<u64>,
    config_age: Gauge<f64>,
    endpoints: Gauge<u64>,
    leaving: Gauge<u64>,
    instances: Gauge<u64>,
    unplaced: Gauge<u64>,
    limited: Gauge<u64>,
    limited_sends: Counter<u64>,
    losses: Counter<u64>,
    denied: Counter<u64>,
    pace: Histogram<f64>,
    shed: Counter<u64>,
    buffer_bytes: Gauge<u64>,
    connections: Gauge<u64>,
    lost_connections: Counter<u64>,
    quota_refused: Counter<u64>,
    over_quota: Gauge<u64>,
}

/// How an instance learns that the connection to an endpoint was lost during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossSource {
    /// The request was its own.
    Own,
    /// Another instance reported it.
    Reported,
}

/// Reason for which a request is refused before it is whole, or a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShedCause {
    /// The memory was used up.
    Memory,
    /// The body made no progress for the idle timeout.
    Stalled,
    /// The body exceeds the limit.
    TooLong,
    /// There were too many connections.
    Connections,
}

/// How the connection of a caller ended other than by a normal close.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallerLoss {
    /// The caller acknowledged or read nothing for too long.
    TimedOut,
    /// The response broke off.
    BrokenOff,
    /// The caller closed the connection within a request, or its bytes were no request.
    Closed,
}

/// Kind of a message to an endpoint, as the metrics count it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SendKind {
    /// First attempt of a request.
    First,
    /// Attempt after a failed one.
    Retry,
    /// Attempt that resumes a stream.
    Resume,
    /// Order to an engine.
    Order,
    /// Query of an engine's state.
    Report,
}

impl Meters {
    /// Creates the instruments and registers their exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn open() -> anyhow::Result<Self> {
        let metrics = Metrics::open()?;
        let meter = metrics.meter("gateway");
        let requests = meter.u64_counter("carobwick_requests");
        let first_output = meter.f64_histogram("carobwick_first_output_seconds");
        let sends = meter.u64_counter("carobwick_sends");
        let orders = meter.u64_counter("carobwick_orders");
        let leading = meter.u64_gauge("carobwick_leading");
        let version = meter.u64_gauge("carobwick_config_version");
        let config_age = meter.f64_gauge("carobwick_config_age_seconds");
        let endpoints = meter.u64_gauge("carobwick_endpoints");
        let leaving_gauge = meter.u64_gauge("carobwick_endpoints_leaving");
        let instances = meter.u64_gauge("carobwick_instances");
        let unplaced = meter.u64_gauge("carobwick_requests_unplaced");
        let limited = meter.u64_gauge("carobwick_endpoints_limited");
        let limited_sends = meter.u64_counter("carobwick_limited_sends");
        let losses = meter.u64_counter("carobwick_losses");
        let denied = meter.u64_counter("carobwick_denied");
        let pace = meter.f64_histogram("carobwick_endpoint_pace");
        let shed = meter.u64_counter("carobwick_shed");
        let buffer_bytes = meter.u64_gauge("carobwick_buffer_bytes");
        let connections = meter.u64_gauge("carobwick_caller_connections");
        let lost_connections = meter.u64_counter("carobwick_caller_connections_lost");
        let quota_refused = meter.u64_counter("carobwick_quota_refused");
        let over_quota = meter.u64_gauge("carobwick_tenants_over_quota");
        Ok(Self {
            requests: requests.with_description("Requests by route and outcome").build(),
            first_output: first_output
                .with_description("Time from arrival to the head of the answer, by route")
                .with_boundaries(FIRST_OUTPUT_BUCKETS_SECONDS.to_vec())
                .build(),
            sends: sends.with_description("Sends to endpoints, by service and verdict").build(),
            orders: orders.with_description("Orders to engines, by reply").build(),
            leading: leading.with_description("1 on the instance that gives orders").build(),
            version: version.with_description("Version of the configuration in force").build(),
            config_age: config_age
                .with_description("Time since the configuration in force was known to be the newest")
                .build(),
            endpoints: endpoints.with_description("Endpoints in the list").build(),
            leaving: leaving_gauge.with_description("Endpoints in the list that are leaving").build(),
            instances: instances.with_description("Instances that share the retry budget").build(),
            unplaced: unplaced.with_description("Requests for which no endpoint is chosen yet").build(),
            limited: limited.with_description("Endpoints that announce a rate limit").build(),
            limited_sends: limited_sends
                .with_description("Sends to endpoints that announce a rate limit, by kind")
                .build(),
            losses: losses
                .with_description("Requests during which an endpoint was lost, own and reported by others")
                .build(),
            denied: denied.with_description("Requests without a known key on routes that need one").build(),
            pace: pace
                .with_description("Time that work takes at endpoints relative to the usual time, by service")
                .with_boundaries(PACE_BUCKETS.to_vec())
                .build(),
            shed: shed.with_description("Requests refused and connections closed, by cause").build(),
            buffer_bytes: buffer_bytes.with_description("Memory of callers' requests and responses").build(),
            connections: connections.with_description("Connections of callers").build(),
            lost_connections: lost_connections
                .with_description("Connections of callers that ended other than by a normal close, by cause")
                .build(),
            quota_refused: quota_refused
                .with_description("Requests refused since their tenant is over its quota")
                .build(),
            over_quota: over_quota
                .with_description("Tenants over their quota, on the instance that gives orders")
                .build(),
            metrics,
        })
    }

    /// Returns all metrics as text; `config_age` is the time since the configuration was known to be the
    /// newest, and `unplaced` the number of requests for which no endpoint is chosen yet.
    pub fn render(&self, config_age: Option<Duration>, unplaced: usize) -> String {
        self.unplaced.record(unplaced as u64, &[]);
        if let Some(age) = config_age {
            self.config_age.record(age.as_secs_f64(), &[]);
        }
        self.metrics.render()
    }

    /// Counts a request, by route and outcome, and records the delay from its arrival to the head of the
    /// response.
    pub fn record_response(&self, route: &str, status: StatusCode, delay: Duration) {
        let route = KeyValue::new("route", route.to_owned());
        self.first_output.record(delay.as_secs_f64(), std::slice::from_ref(&route));
        self.requests.add(1, &[route, KeyValue::new("outcome", outcome(status))]);
    }

    /// Counts a request that is rejected for lack of a known key.
    pub fn record_denied(&self) {
        self.denied.add(1, &[]);
    }

    /// Counts a request that is refused before it is whole, or a connection that is closed.
    pub fn record_shed(&self, cause: ShedCause) {
        let cause = match cause {
            ShedCause::Memory => "memory",
            ShedCause::Stalled => "stalled",
            ShedCause::TooLong => "too_long",
            ShedCause::Connections => "connections",
        };
        self.shed.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a connection of a caller that ended other than by a normal close.
    pub fn record_caller_loss(&self, loss: CallerLoss) {
        let cause = match loss {
            CallerLoss::TimedOut => "timed_out",
            CallerLoss::BrokenOff => "broken_off",
            CallerLoss::Closed => "closed",
        };
        self.lost_connections.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Sets the memory of callers' requests and the number of their connections.
    pub fn set_buffers(&self, bytes: usize, connections: usize) {
        self.buffer_bytes.record(bytes as u64, &[]);
        self.connections.record(connections as u64, &[]);
    }

    /// Counts a request that is refused since its tenant is over its quota.
    pub fn record_over_quota(&self) {
        self.quota_refused.add(1, &[]);
    }

    /// Sets the number of tenants over their quota.
    pub fn set_over_quota(&self, tenants: usize) {
        self.over_quota.record(tenants as u64, &[]);
    }

    /// Counts a request during which the connection to an endpoint was lost.
    pub fn record_loss(&self, source: LossSource) {
        let source = match source {
            LossSource::Own => "own",
            LossSource::Reported => "reported",
        };
        self.losses.add(1, &[KeyValue::new("source", source)]);
    }

    /// Records the pace that an endpoint of a service names.
    pub fn record_pace(&self, service: &ServiceId, pace: Pace) {
        self.pace.record(pace.ratio(), &[KeyValue::new("service", service.to_string())]);
    }

    /// Counts a send to an endpoint, by service and outcome.
    pub fn record_send(&self, service: &ServiceId, outcome: SendOutcome) {
        let outcome = match outcome {
            SendOutcome::Good => "good",
            SendOutcome::Declined => "declined",
            SendOutcome::Failed => "failed",
            SendOutcome::Unreachable => "unreachable",
            SendOutcome::Lost => "lost",
            SendOutcome::Neutral => "neutral",
        };
        let service = KeyValue::new("service", service.to_string());
        self.sends.add(1, &[service, KeyValue::new("verdict", outcome)]);
    }

    /// Counts an order to an engine, by reply.
    pub fn record_order(&self, reply: OrderReply) {
        let reply = match reply {
            OrderReply::Accepted => "accepted",
            OrderReply::Done => "done",
            OrderReply::Conflict => "conflict",
            OrderReply::Refused => "refused",
            OrderReply::Lost => "lost",
        };
        self.orders.add(1, &[KeyValue::new("reply", reply)]);
    }

    /// Sets the number of endpoints that announce a rate limit.
    pub fn set_limited(&self, endpoints: usize) {
        self.limited.record(endpoints as u64, &[]);
    }

    /// Counts a send to an endpoint that announces a rate limit.
    pub fn record_limited_send(&self, kind: SendKind) {
        let kind = match kind {
            SendKind::First => "first",
            SendKind::Retry => "retry",
            SendKind::Resume => "resume",
            SendKind::Order => "order",
            SendKind::Report => "report",
        };
        self.limited_sends.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Sets whether this instance is the leader.
    pub fn set_leading(&self, leading: bool) {
        self.leading.record(u64::from(leading), &[]);
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    /// Sets the number of instances that share the retry budget.
    pub fn set_instances(&self, instances: u32) {
        self.instances.record(u64::from(instances), &[]);
    }

    /// Sets the number of known endpoints, and how many of them are leaving.
    pub fn set_endpoints(&self, endpoints: usize, leaving: usize) {
        self.endpoints.record(endpoints as u64, &[]);
        self.leaving.record(leaving as u64, &[]);
    }
}

fn outcome(status: StatusCode) -> &'static str {
    match status {
        StatusCode::SERVICE_UNAVAILABLE => "refused",
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => "given_up",
        status if status.is_success() => "answered",
        _ => "failed",
    }
}
