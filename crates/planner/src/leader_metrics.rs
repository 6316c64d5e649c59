use carobwick_core::Action;
use carobwick_core::PlanStep;
use carobwick_core::ZoneId;
use carobwick_runtime::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;

/// Metrics of a planner as leader of its zone: whether it leads, and the plans and orders that it sends.
#[derive(Debug)]
pub(crate) struct LeaderMetrics {
    zone: KeyValue,
    leading: Gauge<u64>,
    plans: Counter<u64>,
    orders: Counter<u64>,
}

impl LeaderMetrics {
    pub(crate) fn open(metrics: &Metrics, zone: &ZoneId) -> Self {
        let meter = metrics.meter("leader");
        Self {
            zone: KeyValue::new("zone", zone.to_string()),
            leading: meter
                .u64_gauge("carobwick_leader")
                .with_description("Whether this planner leads")
                .build(),
            plans: meter.u64_counter("carobwick_plan_writes").with_description("Plans written").build(),
            orders: meter.u64_counter("carobwick_orders").with_description("Orders sent, by action").build(),
        }
    }

    pub(crate) fn set_leading(&self, leading: bool) {
        self.leading.record(u64::from(leading), std::slice::from_ref(&self.zone));
    }

    pub(crate) fn record_plan_step(&self, step: &PlanStep) {
        if matches!(step, PlanStep::Write { .. }) {
            self.plans.add(1, std::slice::from_ref(&self.zone));
        }
    }

    pub(crate) fn record_order(&self, action: &Action) {
        let action = match action {
            Action::Load { base: None, .. } => "load",
            Action::Load { base: Some(_), .. } => "load_adapter",
            Action::Unload { .. } => "unload",
            Action::Role { .. } => "role",
            Action::Noop => "noop",
        };
        self.orders.add(1, &[self.zone.clone(), KeyValue::new("action", action)]);
    }
}
