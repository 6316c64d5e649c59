use std::time::Duration;

use carobwick_derive::key;

use crate::Error;
use crate::Result;
use crate::Time;

/// Figure of a machine that works at the usual speed.
const USUAL_PERCENT: u16 = 100;
/// Least figure that is accepted; a machine ten times as fast as usual is a fault of the figure.
const MIN_PERCENT: u16 = 10;
/// Greatest figure that is accepted, 100 times the usual time. Beyond it, a request would never be sent to the endpoint, and
/// no response would correct the figure.
const MAX_PERCENT: u16 = 10_000;
/// Half-life of the weight of a figure against the lasting pace. Slow phases of 0.6 s on average that take 15% of the time
/// lose their correlation with a time constant of 0.51 s, a half-life of 0.35 s.
const FIGURE_HALF_LIFE: Duration = Duration::from_millis(350);
/// Mean age of a relayed figure when it arrives: half of the interval of the reports to the leader and half of that of its
/// messages.
const RELAY_AGE: Duration = Duration::from_millis(500);
/// Least time between two figures that enter the lasting pace, so that many responses in one slow phase count once.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(400);
/// Number of figures that the lasting pace averages, about half a minute at two a second.
const MAX_SAMPLES: f64 = 64.0;

/// How long work takes on the machine of an endpoint at a moment, in percent of the usual time.
///
/// # Examples
///
/// ```
/// use carobwick_core::gateway::Pace;
///
/// let pace: Pace = "250".parse().unwrap();
/// assert_eq!(pace.ratio(), 2.5);
/// assert!("-250".parse::<Pace>().is_err());
/// ```
#[key]
#[derive(Copy)]
#[serde(transparent)]
pub struct Pace(u16);

/// Lasting and present pace of an endpoint, from the figures in its responses and those that were relayed.
///
/// Endpoints differ lastingly, and slow phases of about half a second come on top. A figure says how long work takes when it
/// was made; the older it is, the more the estimate returns to the lasting pace.
#[derive(Debug, Clone, Copy, Default)]
pub struct PaceEstimate {
    /// None until the endpoint has named a figure.
    known: Option<KnownPace>,
}

#[derive(Debug, Clone, Copy)]
struct KnownPace {
    /// Average of the figures, as a ratio to the usual time.
    lasting: f64,
    /// Number of figures in the average, up to [`MAX_SAMPLES`].
    samples: f64,
    /// Time of the last figure that entered the average.
    sampled_at: Time,
    /// Last figure.
    figure: Pace,
    figure_at: Time,
}

impl Pace {
    /// Stands for an endpoint without a figure in a list of paces, where it takes one byte.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the pace unless it is unknown.
    pub fn known(self) -> Option<Self> {
        (self != Self::UNKNOWN).then_some(self)
    }

    /// Returns the time that work takes, relative to the usual time.
    pub fn ratio(self) -> f64 {
        // A message of another instance may hold any number.
        f64::from(self.0.clamp(MIN_PERCENT, MAX_PERCENT)) / f64::from(USUAL_PERCENT)
    }
}

impl std::fmt::Display for Pace {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl std::str::FromStr for Pace {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let percent = text.trim().parse::<f64>().ok();
        let range = f64::from(MIN_PERCENT)..=f64::from(MAX_PERCENT);
        let percent = percent.filter(|percent| range.contains(percent));
        percent.map(|percent| Self(percent.round() as u16)).ok_or_else(|| {
            Error::data(format!("pace `{text}` is no number of {MIN_PERCENT} to {MAX_PERCENT}"))
        })
    }
}

impl PaceEstimate {
    /// Updates the estimate from a response of the endpoint.
    pub fn update(&mut self, figure: Pace, now: Time) {
        self.apply(figure, now);
    }

    /// Updates the estimate from a figure that another instance received, unless a later one is known.
    pub fn update_relayed(&mut self, figure: Pace, now: Time) {
        self.apply(figure, now - RELAY_AGE);
    }

    /// Returns the estimated time that work takes now, relative to the usual time, or none if no figure is known.
    pub fn ratio(&self, now: Time) -> Option<f64> {
        let known = self.known?;
        let age = (now - known.figure_at).as_secs_f64();
        let weight = 0.5_f64.powf(age / FIGURE_HALF_LIFE.as_secs_f64());
        Some(known.lasting + weight * (known.figure.ratio() - known.lasting))
    }

    fn apply(&mut self, figure: Pace, at: Time) {
        let Some(known) = &mut self.known else {
            self.known = Some(KnownPace {
                lasting: figure.ratio(),
                samples: 1.0,
                sampled_at: at,
                figure,
                figure_at: at,
            });
            return;
        };
        if at >= known.figure_at {
            known.figure = figure;
            known.figure_at = at;
        }
        if at >= known.sampled_at + SAMPLE_INTERVAL {
            known.sampled_at = at;
            known.samples = (known.samples + 1.0).min(MAX_SAMPLES);
            known.lasting += (figure.ratio() - known.lasting) / known.samples;
        }
    }
}
