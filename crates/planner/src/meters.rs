use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use carobwick_runtime::Metrics;
use carobwick_runtime::Node;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

/// Counters of the exchange and the operator API.
#[derive(Debug, Clone)]
pub(crate) struct Meters {
    exchanges: Counter<u64>,
    publishes: Counter<u64>,
    drains: Counter<u64>,
}

impl Meters {
    /// Creates the counters, and gauges for the version in force and the reachability of the key-value
    /// service.
    pub fn open(metrics: &Metrics, node: &Node, kv_reachable: &Arc<AtomicBool>) -> Self {
        let meter = metrics.meter("planner");
        let (node, kv_reachable) = (node.clone(), Arc::clone(kv_reachable));
        meter
            .u64_observable_gauge("carobwick_manifest_version")
            .with_description("Version of the manifest in force; 0 without one")
            .with_callback(move |gauge| {
                let version = node.read(|state| state.config.as_ref().map_or(0, |record| record.version.0));
                gauge.observe(version, &[]);
            })
            .build();
        meter
            .u64_observable_gauge("carobwick_key_value_reachable")
            .with_description("1 if the key-value service answered the last call")
            .with_callback(move |gauge| gauge.observe(u64::from(kv_reachable.load(Ordering::Relaxed)), &[]))
            .build();
        Self {
            exchanges: meter
                .u64_counter("carobwick_exchanges")
                .with_description("Exchanges with peers, by outcome")
                .build(),
            publishes: meter
                .u64_counter("carobwick_publishes")
                .with_description("Publishes and rollbacks, by outcome")
                .build(),
            drains: meter
                .u64_counter("carobwick_drains")
                .with_description("Drains and undrains accepted, by whether they were durable at once")
                .build(),
        }
    }

    pub fn record_exchange(&self, succeeded: bool) {
        self.exchanges.add(1, &[KeyValue::new("outcome", if succeeded { "done" } else { "failed" })]);
    }

    pub fn record_publish(&self, outcome: &'static str) {
        self.publishes.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    pub fn record_drain(&self, durable: bool) {
        self.drains.add(1, &[KeyValue::new("durable", durable)]);
    }
}
