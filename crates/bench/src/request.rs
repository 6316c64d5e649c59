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
pub(crate) struct RequestState {
    pub arrival: Arrival,
    /// Entry that the caller uses.
    pub origin: usize,
    /// Entry of another zone that it was forwarded to.
    pub forwarded_to: Option<usize>,
    /// Endpoint that has it.
    pub engine: Option<usize>,
    /// Counts its attempts, so that events of an earlier one are ignored.
    pub attempt: u32,
    pub first_token: Option<Time>,
    /// Load of the endpoint at the first token.
    pub engine_load: Option<LoadReport>,
    pub ended: bool,
}

impl RequestState {
    pub fn new(arrival: Arrival, origin: usize) -> Self {
        Self {
            arrival,
            origin,
            forwarded_to: None,
            engine: None,
            attempt: 0,
            first_token: None,
            engine_load: None,
            ended: false,
        }
    }

    /// Returns the entry that decides on it.
    pub fn deciding_entry(&self) -> usize {
        self.forwarded_to.unwrap_or(self.origin)
    }

    pub fn info(&self, index: usize, forwarded: bool) -> RequestInfo {
        let arrival = &self.arrival;
        let model = arrival.adapter.clone().unwrap_or_else(|| arrival.model.clone());
        RequestInfo {
            request: RequestId(index as u64),
            target: RouteTarget::Model(model),
            caller: arrival.caller.clone(),
            priority: Priority::default(),
            prefix_hash: arrival.prefix.map_or(u64::MAX - index as u64, |(prefix, _)| prefix),
            prompt_tokens: Tokens(arrival.prefix.map_or(0, |(_, tokens)| tokens) + arrival.suffix_tokens),
            max_tokens: Tokens(100),
            fingerprint: Fingerprint(index as u64),
            repeatable: true,
            forwarded,
            deadline: Time(u64::MAX),
        }
    }

    pub fn job(&self, index: usize) -> Job {
        Job {
            request: index,
            prefix: self.arrival.prefix,
            suffix_tokens: self.arrival.suffix_tokens,
            output_tokens: self.arrival.output_tokens,
            adapter: self.arrival.adapter.clone(),
        }
    }
}
