use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use carobwick_derive::data;
use hdrhistogram::Histogram;

use super::check::Outcome;
use super::check::RequestResult;

/// Longest time that the histograms record; longer times count as this one.
const MAX_RECORDED_US: u64 = 600_000_000;

/// Counts and latencies of a load run in progress.
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
    /// Seconds from the start of the run to the end of the last request.
    pub seconds: f64,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// Number of complete responses.
    pub complete: u64,
    /// Number of responses that belong to another request.
    pub foreign: u64,
    /// Complete responses per second.
    pub rate: f64,
    /// Tokens of all streams per second.
    pub token_rate: f64,
    /// Highest number of requests in flight at once.
    pub peak: u64,
    /// Times to the end of complete responses, in milliseconds.
    pub total: Quantiles,
    /// Times to the first token of streams, in milliseconds.
    pub first_token: Quantiles,
    /// Times between consecutive tokens of streams, in milliseconds.
    pub token_gap: Quantiles,
}

/// Quantiles of a set of times, in milliseconds.
#[data]
#[derive(Copy, Default)]
pub struct Quantiles {
    /// Number of times.
    pub count: u64,
    /// Arithmetic mean.
    pub mean: f64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Longest time.
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
            "{:.2} s, {:.1} complete responses/s, at most {} in flight",
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
    Histogram::new_with_max(MAX_RECORDED_US, 3)
        .expect("1 to 600,000,000 with 3 significant digits is a valid range")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}
