use std::net::SocketAddr;
use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_core::ZoneId;
use carobwick_core::gateway::InstanceSize;
use carobwick_core::gateway::QuotaTerms;
use carobwick_core::gateway::RetryTerms;
use carobwick_derive::data;

/// Settings of one instance.
#[data]
pub struct Settings {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Address that accepts callers' connections.
    pub callers: SocketAddr,
    /// Address of the readiness check for the load balancer in front of the instances.
    pub ready: SocketAddr,
    /// Address that serves the metrics.
    pub metrics: SocketAddr,
    /// Address that accepts connections of other instances.
    pub peers: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Processor cores and bandwidth of the instance.
    pub size: InstanceSize,
    /// Most file descriptors of the process, or none without a limit.
    pub max_fds: Option<usize>,
    /// Settings that may change while the instance runs.
    pub terms: Terms,
}

/// Settings that can be reloaded while the instance runs.
#[data]
#[derive(Copy)]
pub struct Terms {
    /// Time between the stop signal and the moment at which the process is killed.
    pub grace: Duration,
    /// Time within which instances must stop sending requests to a leaving endpoint.
    pub drain: Duration,
    /// Time within which a new configuration must be in force.
    pub apply: Duration,
    /// Time for which a new leader sends no orders, so that no order of the previous leader is still in
    /// flight.
    pub handover: Duration,
    /// Limits of the retry budget.
    pub retry: RetryTerms,
    /// Limits of tenants' usage beyond their quotas.
    pub quota: QuotaTerms,
}
