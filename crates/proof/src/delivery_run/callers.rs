use carobwick_core::AttemptId;
use carobwick_core::ResponseFormat;
use carobwick_core::RunStatus;

use super::endpoints::ResponsePart;

/// Records the operations of callers, their executions and what was forwarded to each caller, and checks
/// them.
#[derive(Debug, Default)]
pub(super) struct Callers {
    pub operations: Vec<Operation>,
    pub violations: Vec<String>,
    arrivals: Vec<Arrival>,
}

/// An operation that a caller requests; every request for it counts as the same operation.
#[derive(Debug, Clone, Copy)]
pub(super) struct Operation {
    pub form: ResponseFormat,
    pub key: Option<u64>,
    pub repeatable: bool,
    /// Number of events in the response.
    pub length: u64,
    pub executions: u32,
}

/// One request of a caller for an operation.
#[derive(Debug, Default)]
struct Arrival {
    operation: usize,
    executions: u32,
    /// Number of events forwarded to the caller.
    forwarded: u64,
    /// Attempt whose execution made the forwarded events.
    source: Option<AttemptId>,
    /// Whether the caller received a whole response or an error, or disconnected.
    ended: bool,
    /// Whether it was refused with `run: no`.
    refused: bool,
}

impl Callers {
    pub fn arrive(&mut self, operation: usize) -> usize {
        self.arrivals.push(Arrival { operation, ..Arrival::default() });
        self.arrivals.len() - 1
    }

    /// Counts an execution of a request and returns its operation.
    pub fn execute(&mut self, id: usize) -> usize {
        let arrival = &mut self.arrivals[id];
        arrival.executions += 1;
        if arrival.refused {
            self.violations.push(format!("I4: request {id} is executed after a refusal with run: no"));
        }
        let operation = &mut self.operations[arrival.operation];
        operation.executions += 1;
        if !operation.repeatable && operation.executions > 1 {
            let text =
                format!("I5: operation {} is executed {} times", arrival.operation, operation.executions);
            self.violations.push(text);
        }
        arrival.operation
    }

    pub fn forward(&mut self, id: usize, part: Option<ResponsePart>) {
        self.check_open(id);
        let Some(part) = part else {
            self.violations.push(format!("I3: request {id} is forwarded a part that did not arrive"));
            return;
        };
        let arrival = &mut self.arrivals[id];
        if part.operation != arrival.operation {
            self.violations.push(format!("I3: request {id} is forwarded a part of another response"));
        }
        if part.first != arrival.forwarded {
            let text =
                format!("I3: request {id} is forwarded event {} after {}", part.first, arrival.forwarded);
            self.violations.push(text);
        }
        if arrival.source.is_some_and(|source| source != part.source) {
            self.violations.push(format!("I3: request {id} is forwarded a mix of two responses"));
        }
        arrival.source = Some(part.source);
        arrival.forwarded = part.first + part.count;
    }

    pub fn finish(&mut self, id: usize, part: Option<ResponsePart>) {
        self.forward(id, part);
        let arrival = &mut self.arrivals[id];
        arrival.ended = true;
        if arrival.forwarded != self.operations[arrival.operation].length {
            let text = format!("I3: request {id} ends after {} events without an error", arrival.forwarded);
            self.violations.push(text);
        }
    }

    pub fn replay(&mut self, id: usize, body: &[u8]) {
        self.check_open(id);
        let arrival = &mut self.arrivals[id];
        arrival.ended = true;
        if body != (arrival.operation as u64).to_le_bytes() {
            self.violations
                .push(format!("I3: request {id} is forwarded the stored response of another operation"));
        }
    }

    pub fn refuse(&mut self, id: usize, run: RunStatus) {
        self.check_open(id);
        let arrival = &mut self.arrivals[id];
        arrival.ended = true;
        if run == RunStatus::Unknown {
            return;
        }
        arrival.refused = true;
        if arrival.executions > 0 {
            self.violations.push(format!("I4: request {id} was executed and is refused with run: no"));
        }
    }

    /// Records that the stream ended with an error event.
    pub fn fail(&mut self, id: usize) {
        self.check_open(id);
        self.arrivals[id].ended = true;
    }

    /// Records that the caller disconnected or lost its connection.
    pub fn leave(&mut self, id: usize) {
        self.arrivals[id].ended = true;
    }

    pub fn check_ended(&mut self, id: usize) {
        if !self.arrivals[id].ended {
            self.violations.push(format!("request {id} has no response long after its deadline"));
        }
    }

    fn check_open(&mut self, id: usize) {
        if self.arrivals[id].ended {
            self.violations.push(format!("I3: request {id} receives a second response"));
        }
    }
}
