use carobwick_core::Fingerprint;
use carobwick_core::LoadReport;
use carobwick_core::Priority;
use carobwick_core::RequestId;
use carobwick_core::RequestSpec;
use carobwick_core::RouteTarget;
use carobwick_core::Time;
use carobwick_core::Tokens;

use crate::Arrival;
use crate::Job;

/// State of one request in a simulation.
#[derive(Debug)]
pub(crate) struct RequestState {
    pub arrival: Arrival,
    /// Index of the entry that the caller is connected to.
    pub origin: usize,
    /// Index of the entry in another zone that the request was forwarded to.
    pub forwarded_to: Option<usize>,
    /// Index of the engine that the request was last sent to.
    pub engine: Option<usize>,
    /// Number of the current attempt; events of earlier attempts are ignored.
    pub attempt: u32,
    /// Time of the first token.
    pub first_token: Option<Time>,
    /// Load of the engine at the first token.
    pub engine_load: Option<LoadReport>,
    /// Whether the request is complete, refused or failed.
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

    /// Returns the index of the entry that currently dispatches the request.
    pub fn deciding_entry(&self) -> usize {
        self.forwarded_to.unwrap_or(self.origin)
    }

    /// Returns the request as a dispatcher sees it.
    pub fn info(&self, index: usize, forwarded: bool) -> RequestSpec {
        let arrival = &self.arrival;
        let model = arrival.adapter.clone().unwrap_or_else(|| arrival.model.clone());
        RequestSpec {
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

    /// Returns the request as an engine sees it.
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
