use std::time::Duration;

use crate::Tokens;

/// Weight of a new value in the moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Tokens added to each prompt: the fixed cost of a request, in tokens of prefill.
const FIXED_COST_TOKENS: f64 = 256.0;

/// Service times of one model or plain service, learned from finished requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct LatencyEstimate {
    service: Option<f64>,
    /// Seconds of prefill per token of a prompt that no cache holds.
    cold: Option<f64>,
    /// Seconds of prefill of a prompt whose prefix is cached.
    warm: Option<f64>,
}

impl LatencyEstimate {
    /// Notes the time from dispatch to the end of an answer, with the value that was assumed before the first one.
    pub fn record_service(&mut self, took: Duration, assumed: f64) {
        // The first answers to end are the shortest, so the assumption counts like earlier values.
        self.service.get_or_insert(assumed);
        update_average(&mut self.service, took.as_secs_f64());
    }

    /// Notes the time to the first token of a request that found no other own request in prefill.
    ///
    /// On a `busy` endpoint it is only an upper bound, since requests of other entries may have gone first.
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

    /// Returns the seconds of prefill on an idle endpoint.
    pub fn prefill_seconds(&self, prompt: Tokens, warm: bool) -> f64 {
        let cold = self.cold.map(|cold| cold * effective_tokens(prompt));
        let warm = self.warm.filter(|_| warm);
        warm.into_iter().chain(cold).min_by(f64::total_cmp).unwrap_or(0.0)
    }

    /// Returns the seconds that a request takes, if any has finished.
    pub fn service_seconds(&self) -> Option<f64> {
        self.service
    }
}

fn effective_tokens(prompt: Tokens) -> f64 {
    prompt.0 as f64 + FIXED_COST_TOKENS
}

/// Moves a moving average towards a new value.
pub(crate) fn update_average(average: &mut Option<f64>, value: f64) {
    *average = Some(average.map_or(value, |old| old + SMOOTHING_FACTOR * (value - old)));
}
