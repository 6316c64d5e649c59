use hdrhistogram::Histogram;

use crate::Moves;

/// Results of one simulation run.
#[derive(Debug, Clone)]
pub struct Score {
    /// Requests that arrived after the warm-up.
    pub arrived: u64,
    /// Requests that met both latency targets of their model.
    pub attained: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that were neither refused nor completed.
    pub failed: u64,
    /// Placement moves of the whole run, including the warm-up.
    pub moves: Moves,
    /// Length of the measured part of the run in seconds.
    pub seconds: f64,
    /// Accelerators of the deployment.
    pub accelerators: u32,
    /// Time to the first token in microseconds.
    pub first_token: Histogram<u64>,
    /// Mean time between the tokens of a request, in microseconds.
    pub token_gap: Histogram<u64>,
}

/// Median and range of a value over several seeds.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    /// Lowest value.
    pub low: f64,
    /// Median.
    pub median: f64,
    /// Highest value.
    pub high: f64,
}

impl Score {
    /// Creates an empty score.
    pub fn new(seconds: f64, accelerators: u32) -> Self {
        let histogram =
            || Histogram::new_with_max(600_000_000, 3).expect("the bounds of the histogram are valid");
        Self {
            arrived: 0,
            attained: 0,
            refused: 0,
            failed: 0,
            moves: Moves::default(),
            seconds,
            accelerators,
            first_token: histogram(),
            token_gap: histogram(),
        }
    }

    /// Returns the fraction of requests that met their latency targets.
    pub fn attainment(&self) -> f64 {
        self.attained as f64 / self.arrived.max(1) as f64
    }

    /// Returns the attainment per accelerator.
    pub fn attainment_per_accelerator(&self) -> f64 {
        self.attainment() / f64::from(self.accelerators)
    }

    /// Returns the requests per second that met their latency targets.
    pub fn goodput(&self) -> f64 {
        self.attained as f64 / self.seconds
    }

    /// Returns the fraction of requests that were refused.
    pub fn refusal_rate(&self) -> f64 {
        self.refused as f64 / self.arrived.max(1) as f64
    }
}

impl Summary {
    /// Returns the summary of the values; panics if there are none.
    pub fn of(values: impl Iterator<Item = f64>) -> Self {
        let mut sorted: Vec<f64> = values.collect();
        sorted.sort_by(f64::total_cmp);
        Self { low: sorted[0], median: sorted[sorted.len() / 2], high: sorted[sorted.len() - 1] }
    }

    /// Returns the median and the range as text, multiplied by `scale` and with the given number of decimals.
    pub fn format(&self, scale: f64, decimals: usize) -> String {
        let Self { low, median, high } = *self;
        let (low, median, high) = (low * scale, median * scale, high * scale);
        format!("{median:.decimals$} ({low:.decimals$}..{high:.decimals$})")
    }
}
