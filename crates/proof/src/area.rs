use std::fmt;
use std::str::FromStr;

use crate::Report;
use crate::config_run;
use crate::delivery_run;
use crate::planner_run;
use crate::quarantine_run;

/// Part of the decision code that a simulation exercises.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Area {
    /// Publishing and adoption of manifests, drains, and their exchange between processes.
    Config,
    /// Attempts, responses and idempotency records.
    Delivery,
    /// Leader leases, plans, orders, the memory ledger and home zones.
    Planner,
    /// Requests that crash endpoints.
    Quarantine,
}

impl Area {
    /// All areas.
    pub const ALL: [Self; 4] = [Self::Config, Self::Delivery, Self::Planner, Self::Quarantine];

    /// Runs a simulation of the area with a seed and a number of steps.
    pub fn run(self, seed: u64, steps: u64) -> Report {
        match self {
            Self::Config => config_run::run(seed, steps),
            Self::Delivery => delivery_run::run(seed, steps),
            Self::Planner => planner_run::run(seed, steps),
            Self::Quarantine => quarantine_run::run(seed, steps),
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Delivery => "delivery",
            Self::Planner => "planner",
            Self::Quarantine => "quarantine",
        }
    }
}

impl fmt::Display for Area {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Area {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let found = Self::ALL.into_iter().find(|area| area.name() == text);
        found.ok_or_else(|| {
            anyhow::anyhow!("unknown area `{text}`; expected config, delivery, planner or quarantine")
        })
    }
}
