use carobwick_core::Fingerprint;
use carobwick_core::LoadReport;
use carobwick_core::Priority;
use carobwick_core::RequestId;
use carobwick_core::RequestInfo;
use carobwick_core::RouteTarget;
use carobwick_core::Time;
use carobwick_core::Tokens;

use crate::Arrival;
use crate::Job;

/// A request in a run, from its arrival to its end.
#[derive(Debug)]
pub(crate) struct Flow {
    pub arrival: Arrival,
    /// Entry that the caller uses.
    pub origin: usize,
    /// Entry of another zone that it was forwarded to.
    pub hop: Option<usize>,
    /// Endpoint that has it.
    pub endpoint: Option<usize>,
    /// Counts its attempts, so that events of an earlier one are ignored.
    pub attempt: u32,
    pub first: Option<Time>,
    /// Load of the endpoint at the first token.
    pub load: Option<LoadReport>,
    pub ended: bool,
}

impl Flow {
    pub fn new(arrival: Arrival, origin: usize) -> Self {
        Self { arrival, origin, hop: None, endpoint: None, attempt: 0, first: None, load: None, ended: false }
    }

    /// Returns the entry that decides on it.
    pub fn entry(&self) -> usize {
        self.hop.unwrap_or(self.origin)
    }

    pub fn ask(&self, index: usize, forwarded: bool) -> RequestInfo {
        let arrival = &self.arrival;
        let model = arrival.adapter.clone().unwrap_or_else(|| arrival.model.clone());
        RequestInfo {
            request: RequestId(index as u64),
            target: RouteTarget::Model(model),
            caller: arrival.caller.clone(),
            priority: Priority::default(),
            prefix_hash: arrival.brief.map_or(u64::MAX - index as u64, |(brief, _)| brief),
            prompt_tokens: Tokens(arrival.brief.map_or(0, |(_, tokens)| tokens) + arrival.question),
            max_tokens: Tokens(100),
            fingerprint: Fingerprint(index as u64),
            repeatable: true,
            forwarded,
            deadline: Time(u64::MAX),
        }
    }

    pub fn job(&self, index: usize) -> Job {
        Job {
            flow: index,
            brief: self.arrival.brief,
            question: self.arrival.question,
            tokens: self.arrival.tokens,
            adapter: self.arrival.adapter.clone(),
        }
    }
}
