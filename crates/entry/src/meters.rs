use std::time::Duration;

use carobwick_runtime::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;

use crate::refusal::Code;

/// Counters and histograms of the requests of an entry.
#[derive(Debug)]
pub(crate) struct Meters {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    first_output: Histogram<f64>,
}

impl Meters {
    pub fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter("entry");
        Self {
            requests: meter.u64_counter("carobwick_requests").with_description("Requests accepted").build(),
            refusals: meter
                .u64_counter("carobwick_refusals")
                .with_description("Requests refused, by code")
                .build(),
            attempts: meter
                .u64_counter("carobwick_attempts")
                .with_description("Attempts sent to endpoints and other zones")
                .build(),
            resumes: meter
                .u64_counter("carobwick_resumes")
                .with_description("Interrupted streams that were resumed")
                .build(),
            first_output: meter
                .f64_histogram("carobwick_first_output_seconds")
                .with_description("Time from arrival to the first event or the whole answer")
                .with_boundaries(vec![0.001, 0.005, 0.02, 0.1, 0.25, 0.5, 0.75, 1.0, 2.0, 5.0, 20.0, 60.0])
                .build(),
        }
    }

    pub fn request(&self) {
        self.requests.add(1, &[]);
    }

    pub fn refusal(&self, code: Code) {
        self.refusals.add(1, &[KeyValue::new("code", code.as_str())]);
    }

    pub fn attempt(&self) {
        self.attempts.add(1, &[]);
    }

    pub fn resume(&self) {
        self.resumes.add(1, &[]);
    }

    pub fn first_output(&self, delay: Duration) {
        self.first_output.record(delay.as_secs_f64(), &[]);
    }
}
