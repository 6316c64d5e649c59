use std::time::Duration;

use crate::Tokens;

/// Weight of a new value in the moving averages.
const WEIGHT: f64 = 0.1;
/// Tokens added to each prompt: the fixed cost of a request, in tokens of prefill.
const FIXED: f64 = 256.0;

/// Service times of one model or plain service, learned from finished requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Estimate {
    service: Option<f64>,
    prefill: Option<f64>,
    floor: Option<f64>,
}

impl Estimate {
    /// Notes the time from dispatch to the end of an answer.
    pub fn service_time(&mut self, took: Duration) {
        blend(&mut self.service, took.as_secs_f64());
    }

    /// Notes the time from dispatch to the first token, with the own requests that were in prefill before it.
    pub fn first_token(&mut self, took: Duration, prompt: Tokens, pending: u32) {
        let value = took.as_secs_f64() / (work(prompt) * f64::from(pending + 1));
        blend(&mut self.prefill, value);
        // The lowest value rises slowly, so that it follows an engine that became slower.
        let floor = self.floor.map_or(value, |floor| (floor * 1.001).min(value));
        self.floor = Some(floor);
    }

    /// Returns the seconds from dispatch to the first token on an endpoint with own requests in prefill.
    pub fn first(&self, prompt: Tokens, pending: u32) -> f64 {
        self.prefill.unwrap_or(0.0) * work(prompt) * f64::from(pending + 1)
    }

    /// Returns the seconds to the first token on an idle endpoint.
    pub fn idle_first(&self, prompt: Tokens) -> f64 {
        self.floor.unwrap_or(0.0) * work(prompt)
    }

    /// Returns the seconds that a request takes, if any has finished.
    pub fn service(&self) -> Option<f64> {
        self.service
    }
}

fn work(prompt: Tokens) -> f64 {
    prompt.0 as f64 + FIXED
}

fn blend(average: &mut Option<f64>, value: f64) {
    *average = Some(average.map_or(value, |old| old + WEIGHT * (value - old)));
}
