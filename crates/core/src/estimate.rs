use std::time::Duration;

use crate::Tokens;

/// Smoothing factor of the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Fixed cost of a request in tokens of prefill, added to the length of each prompt.
const FIXED_COST_TOKENS: f64 = 256.0;

/// Moving averages of the service and prefill times of one model or plain service.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatencyEstimate {
    /// Seconds from dispatch to the end of the response.
    service: Option<f64>,
    /// Seconds of prefill per token of a prompt whose prefix is not cached.
    cold: Option<f64>,
    /// Seconds of prefill of a prompt whose prefix is cached.
    warm: Option<f64>,
}

impl LatencyEstimate {
    /// Records the time from dispatch to the end of a response; `assumed` is the average before the first
    /// one, in seconds.
    pub fn record_service(&mut self, took: Duration, assumed: f64) {
        // The first responses to end are the shortest, so the average starts from the assumed value.
        self.service.get_or_insert(assumed);
        update_average(&mut self.service, took.as_secs_f64());
    }

    /// Records the time to the first token of a request that started while no other own request was in
    /// prefill.
    ///
    /// On a `busy` endpoint the time is only an upper bound, since prefill of other entries' requests may
    /// have gone first.
    pub fn record_prefill(&mut self, took: Duration, prompt: Tokens, warm: bool, busy: bool) {
        let (known, value) = if warm {
            (&mut self.warm, took.as_secs_f64())
        } else {
            (&mut self.cold, took.as_secs_f64() / effective_tokens(prompt))
        };
        if busy {
            *known = Some(known.map_or(value, |known| known.min(value)));
        } else {
            update_average(known, value);
        }
    }

    /// Returns the estimated seconds of prefill on an idle endpoint, or 0 if none was recorded.
    pub fn prefill_seconds(&self, prompt: Tokens, warm: bool) -> f64 {
        let cold = self.cold.map(|cold| cold * effective_tokens(prompt));
        let warm = self.warm.filter(|_| warm);
        warm.into_iter().chain(cold).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Returns the estimated seconds from dispatch to the end of the response, if any request has finished.
    pub fn service_seconds(&self) -> Option<f64> {
        self.service
    }
}

fn effective_tokens(prompt: Tokens) -> f64 {
    prompt.0 as f64 + FIXED_COST_TOKENS
}

/// Updates an exponential moving average, which starts with the first value.
pub(crate) fn update_average(average: &mut Option<f64>, value: f64) {
    *average = Some(average.map_or(value, |old| old + SMOOTHING_FACTOR * (value - old)));
}
