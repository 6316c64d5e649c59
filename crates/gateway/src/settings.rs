use std::net::SocketAddr;
use std::time::Duration;

use carobwick_core::InstanceId;
use carobwick_core::ZoneId;
use carobwick_core::gateway::InstanceSize;
use carobwick_core::gateway::RetryTerms;
use carobwick_derive::data;

/// Settings of one instance.
#[data]
pub struct Settings {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the balancer asks whether the instance takes connections.
    pub ready: SocketAddr,
    /// Address at which the metrics are read.
    pub metrics: SocketAddr,
    /// Address for other instances.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// What the instance has to work with.
    pub size: InstanceSize,
    /// What may change while the instance runs.
    pub terms: Terms,
}

/// Settings that are taken over while the instance runs.
#[data]
#[derive(Copy)]
pub struct Terms {
    /// Time between the signal to stop and the end of the process.
    pub grace: Duration,
    /// Time in which a leaving endpoint must get no more requests.
    pub drain: Duration,
    /// Time in which a new configuration must be in force.
    pub apply: Duration,
    /// Time for which a new leader gives no orders, so that those of the last one have arrived.
    pub handover: Duration,
    /// Bound on repeated sends.
    pub retry: RetryTerms,
}
