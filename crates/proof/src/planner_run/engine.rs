use std::collections::VecDeque;

use carobwick_core::Action;
use carobwick_core::Bytes;
use carobwick_core::EndpointId;
use carobwick_core::EngineState;
use carobwick_core::Fence;
use carobwick_core::Incarnation;
use carobwick_core::ModelId;
use carobwick_core::Order;
use carobwick_core::OrderId;
use carobwick_core::OrderOutcome;
use carobwick_core::OrderResult;
use carobwick_core::Resident;
use carobwick_core::Role;
use carobwick_core::ServiceId;
use carobwick_core::ZoneId;

/// Maximum number of order outcomes that an engine remembers.
const MAX_RESULTS: usize = 16;

/// Fake model engine that tracks the contents of its memory. Times are in microseconds.
#[derive(Debug, Clone)]
pub(super) struct FakeEngine {
    pub id: EndpointId,
    pub zone: ZoneId,
    pub service: ServiceId,
    /// Whether it refuses orders with an old fencing number and expired orders; otherwise it carries out all
    /// orders.
    pub checks_fence: bool,
    pub memory: Bytes,
    pub incarnation: Incarnation,
    /// Time since which the engine is up, or until which it is down.
    pub up: Result<u64, u64>,
    pub drained_since: Option<u64>,
    pub copies: Vec<ModelCopy>,
    fence: Fence,
    /// Highest leader, by the revision in its fencing number, whose order took effect in this incarnation.
    last_leader: u64,
    results: VecDeque<OrderResult>,
}

/// A model or adapter in an engine's memory.
#[derive(Debug, Clone)]
pub(super) struct ModelCopy {
    pub resident: Resident,
    pub base: Option<ModelId>,
    pub phase: Phase,
    /// Order that started the latest load or unload.
    pub order: OrderId,
}

/// Phase of a copy; a load or unload has the time at which it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    Loading(u64),
    Ready,
    Unloading(u64),
}

/// Effect of an order.
#[derive(Debug, Default)]
pub(super) struct Effect {
    pub outcome: Option<OrderOutcome>,
    pub violations: Vec<String>,
    /// Copy whose load the order started.
    pub loaded: Option<Resident>,
    /// Ready copy whose unload the order started.
    pub unloaded: Option<Resident>,
}

impl FakeEngine {
    pub(super) fn new(id: &str, zone: &ZoneId, service: &str, checks_fence: bool, incarnation: u64) -> Self {
        Self {
            id: id.parse().expect("the id is valid"),
            zone: zone.clone(),
            service: service.parse().expect("the name is valid"),
            checks_fence,
            memory: Bytes(100),
            incarnation: Incarnation(incarnation),
            up: Ok(0),
            drained_since: None,
            copies: Vec::new(),
            fence: Fence(0),
            last_leader: 0,
            results: VecDeque::new(),
        }
    }

    /// Returns the state that the engine reports.
    pub(super) fn state(&self) -> EngineState {
        let (ready, other): (Vec<&ModelCopy>, Vec<&ModelCopy>) =
            self.copies.iter().partition(|copy| copy.phase == Phase::Ready);
        let residents =
            |copies: Vec<&ModelCopy>| copies.into_iter().map(|copy| copy.resident.clone()).collect();
        EngineState {
            incarnation: self.incarnation,
            fence: if self.checks_fence { self.fence } else { Fence(0) },
            memory: self.memory,
            resident: residents(ready),
            loading: residents(other),
            running: 0,
            queued: 0,
            role: Role::Mixed,
            results: self.results.iter().map(|result| self.current(result)).collect(),
        }
    }

    /// Completes the loads and unloads that have ended by `now`.
    pub(super) fn advance(&mut self, now: u64) {
        self.copies.retain(|copy| !matches!(copy.phase, Phase::Unloading(end) if end <= now));
        for copy in &mut self.copies {
            if matches!(copy.phase, Phase::Loading(end) if end <= now) {
                copy.phase = Phase::Ready;
            }
        }
    }

    /// Restarts the engine with empty memory as a new incarnation, which is down for `down`.
    pub(super) fn restart(&mut self, now: u64, incarnation: u64, down: u64) {
        self.incarnation = Incarnation(incarnation);
        self.copies.clear();
        self.results.clear();
        self.fence = Fence(0);
        self.last_leader = 0;
        self.up = if down == 0 { Ok(now) } else { Err(now + down) };
    }

    /// Handles an order; a load would end at `load_end` and an unload at `unload_end`.
    pub(super) fn receive(&mut self, wall_ms: u64, order: &Order, load_end: u64, unload_end: u64) -> Effect {
        let mut effect = Effect::default();
        if self.checks_fence && order.fence <= self.fence {
            effect.outcome = Some(OrderOutcome::Fenced);
            return effect;
        }
        if self.checks_fence {
            self.fence = order.fence;
        }
        if self.checks_fence && wall_ms > order.expires_ms {
            effect.outcome = Some(OrderOutcome::Expired);
            return effect;
        }
        let outcome = self.carry_out(order, load_end, unload_end, &mut effect);
        self.results.push_back(OrderResult { id: order.id, outcome });
        if self.results.len() > MAX_RESULTS {
            self.results.pop_front();
        }
        effect.outcome = Some(outcome);
        if effect.loaded.is_some() || effect.unloaded.is_some() {
            let leader = order.fence.revision();
            if leader < self.last_leader {
                let text = format!(
                    "{}: order of leader {leader} took effect after one of leader {}",
                    self.id, self.last_leader
                );
                effect.violations.push(text);
            }
            self.last_leader = self.last_leader.max(leader);
        }
        effect
    }

    /// Returns whether the engine is up with a ready copy of any version of the model.
    pub(super) fn serves(&self, model: &ModelId) -> bool {
        let ready = |copy: &ModelCopy| copy.resident.model == *model && copy.phase == Phase::Ready;
        self.up.is_ok() && self.copies.iter().any(ready)
    }

    fn current(&self, result: &OrderResult) -> OrderResult {
        let mut copies = self.copies.iter();
        let underway = copies.any(|copy| copy.order == result.id && copy.phase != Phase::Ready);
        let outcome = match result.outcome {
            OrderOutcome::Started if !underway => OrderOutcome::Done,
            outcome => outcome,
        };
        OrderResult { id: result.id, outcome }
    }

    fn carry_out(
        &mut self,
        order: &Order,
        load_end: u64,
        unload_end: u64,
        effect: &mut Effect,
    ) -> OrderOutcome {
        match &order.action {
            Action::Load { model, version, size, base } => {
                let resident = Resident { model: model.clone(), version: version.clone(), size: *size };
                if let Some(copy) = self.copies.iter().find(|copy| copy.resident == resident) {
                    return match copy.phase {
                        Phase::Unloading(_) => OrderOutcome::Failed,
                        Phase::Loading(_) | Phase::Ready => OrderOutcome::Done,
                    };
                }
                let used: Bytes = self.copies.iter().map(|copy| copy.resident.size).sum();
                if used + *size > self.memory {
                    let text =
                        format!("{}: load of {model} with {used} of {} bytes used", self.id, self.memory);
                    effect.violations.push(text);
                    return OrderOutcome::Failed;
                }
                if base.as_ref().is_some_and(|base| !self.serves(base)) {
                    return OrderOutcome::Failed;
                }
                effect.loaded = Some(resident.clone());
                self.copies.push(ModelCopy {
                    resident,
                    base: base.clone(),
                    phase: Phase::Loading(load_end),
                    order: order.id,
                });
                OrderOutcome::Started
            }
            Action::Unload { model, version } => {
                if self.copies.iter().any(|copy| copy.base.as_ref() == Some(model)) {
                    return OrderOutcome::Failed;
                }
                let matching = |copy: &&mut ModelCopy| {
                    copy.resident.model == *model && copy.resident.version == *version
                };
                let Some(copy) = self.copies.iter_mut().find(matching) else {
                    return OrderOutcome::Done;
                };
                if copy.phase == Phase::Ready {
                    effect.unloaded = Some(copy.resident.clone());
                }
                copy.phase = Phase::Unloading(unload_end);
                copy.order = order.id;
                OrderOutcome::Started
            }
            Action::Role { .. } | Action::Noop => OrderOutcome::Done,
        }
    }
}
