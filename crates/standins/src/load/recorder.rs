use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use carobwick_derive::data;
use hdrhistogram::Histogram;

use super::check::Outcome;
use super::check::RequestResult;

/// Longest time that is told apart, in microseconds.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Counts and times of a running load.
#[derive(Debug)]
pub(super) struct LoadRecorder {
    outcomes: BTreeMap<Outcome, u64>,
    tokens: u64,
    peak: u64,
    total: Histogram<u64>,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
}

/// Result of a load run.
#[data]
pub struct LoadSummary {
    /// Seconds from the first request to the end of the last answer.
    pub seconds: f64,
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Complete answers.
    pub complete: u64,
    /// Answers that belong to another request.
    pub foreign: u64,
    /// Complete answers per second.
    pub rate: f64,
    /// Tokens of streams per second.
    pub token_rate: f64,
    /// Most requests in flight at once.
    pub peak: u64,
    /// Times of complete answers, in milliseconds.
    pub total: Quantiles,
    /// Times to the first token, in milliseconds.
    pub first_token: Quantiles,
    /// Times between tokens, in milliseconds.
    pub token_gap: Quantiles,
}

/// Quantiles of times in milliseconds.
#[data]
#[derive(Copy, Default)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90% are not above this.
    pub p90: f64,
    /// 95% are not above this.
    pub p95: f64,
    /// 99% are not above this.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl LoadRecorder {
    pub(super) fn new() -> Self {
        Self {
            outcomes: BTreeMap::new(),
            tokens: 0,
            peak: 0,
            total: histogram(),
            first_token: histogram(),
            token_gap: histogram(),
        }
    }

    pub(super) fn record(&mut self, result: &RequestResult, total: Duration, in_flight: u64) {
        self.peak = self.peak.max(in_flight);
        *self.outcomes.entry(result.outcome.clone()).or_default() += 1;
        if result.outcome == Outcome::Complete {
            record(&mut self.total, total);
        }
        if let Some(first) = result.first_token {
            record(&mut self.first_token, first);
            self.tokens += 1 + result.token_gaps.len() as u64;
        }
        for gap in &result.token_gaps {
            record(&mut self.token_gap, *gap);
        }
    }

    pub(super) fn summary(&self, elapsed: Duration) -> LoadSummary {
        let seconds = elapsed.as_secs_f64();
        let count = |outcome| self.outcomes.get(&outcome).copied().unwrap_or_default();
        let complete = count(Outcome::Complete);
        LoadSummary {
            seconds,
            outcomes: self.outcomes.iter().map(|(outcome, count)| (outcome.to_string(), *count)).collect(),
            complete,
            foreign: count(Outcome::Foreign),
            rate: complete as f64 / seconds,
            token_rate: self.tokens as f64 / seconds,
            peak: self.peak,
            total: Quantiles::of(&self.total),
            first_token: Quantiles::of(&self.first_token),
            token_gap: Quantiles::of(&self.token_gap),
        }
    }
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let ms = |us: u64| us as f64 / 1_000.0;
        let at = |quantile| ms(histogram.value_at_quantile(quantile));
        Self {
            count: histogram.len(),
            mean: histogram.mean() / 1_000.0,
            p50: at(0.5),
            p90: at(0.9),
            p95: at(0.95),
            p99: at(0.99),
            max: ms(histogram.max()),
        }
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "n {} mean {:.2} p50 {:.2} p90 {:.2} p95 {:.2} p99 {:.2} max {:.2}",
            self.count, self.mean, self.p50, self.p90, self.p95, self.p99, self.max
        )
    }
}

impl fmt::Display for LoadSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:.2} s, {:.1} complete answers/s, at most {} in flight",
            self.seconds, self.rate, self.peak
        )?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome}: {count}")?;
        }
        writeln!(f, "total ms: {}", self.total)?;
        if self.first_token.count > 0 {
            writeln!(f, "first token ms: {}", self.first_token)?;
            writeln!(f, "between tokens ms: {}", self.token_gap)?;
            writeln!(f, "{:.0} tokens/s", self.token_rate)?;
        }
        Ok(())
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_RECORDED_US, 3).expect("1 to 600,000,000 with 3 digits is a valid range")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}
