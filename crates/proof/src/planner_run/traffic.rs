use carobwick_core::Command;
use carobwick_core::EndpointId;
use carobwick_core::LeaseStep;
use carobwick_core::Order;
use carobwick_core::Time;
use rand::Rng;

use super::fault::Fault;
use super::kv::KvCall;
use super::simulation::ENGINE_TIMEOUT;
use super::simulation::Event;
use super::simulation::MILLISECOND;
use super::simulation::Requester;
use super::simulation::SECOND;
use super::simulation::Simulation;

/// Timeout of a call to the key-value service.
const KV_TIMEOUT: u64 = SECOND;

/// Longest time that the design assumes an order to be in flight to an engine that ignores fencing numbers.
const MAX_ORDER_DELAY: u64 = 3 * SECOND;

impl Simulation {
    pub(super) fn poll(&mut self, index: usize, endpoint: &EndpointId, requested_at: (Time, u64)) {
        let now = self.now;
        let losing = self.is_active(Fault::LosePolls);
        let planner = &mut self.planners[index];
        let requester = Requester { planner: index, incarnation: planner.incarnation };
        if planner.next_polls.get(endpoint).is_some_and(|until| *until > now) {
            return;
        }
        let Some(engine) = self.engines.iter().position(|engine| engine.id == *endpoint) else {
            return;
        };
        let arrive = now + self.rng.random_range(MILLISECOND..50 * MILLISECOND);
        let reply = arrive + self.rng.random_range(MILLISECOND..50 * MILLISECOND);
        // A leader treats an engine that does not reply as down, so no two polls in a row are lost.
        let loss_rate = if losing { 0.6 } else { 0.01 };
        let lost = !planner.lost_polls.remove(endpoint) && self.rng.random_bool(loss_rate);
        if lost {
            planner.lost_polls.insert(endpoint.clone());
        }
        planner.next_polls.insert(endpoint.clone(), now + if lost { ENGINE_TIMEOUT } else { SECOND });
        if !lost {
            self.schedule(arrive, Event::PollArrive { engine, requester, requested_at, reply });
        }
    }

    pub(super) fn execute(&mut self, index: usize, command: Command) {
        let zone = self.planners[index].zone.clone();
        match command {
            Command::Lease(step) => {
                let record = match (&step, &self.planners[index].controller) {
                    (LeaseStep::Create { write_id, .. }, Ok(controller)) => {
                        Some(controller.lease().record(*write_id))
                    }
                    _ => None,
                };
                self.call(index, KvCall::Lease { zone, step, record });
            }
            Command::Plan(tag, step) => self.call(index, KvCall::Plan { zone, tag, step }),
            Command::ReadPeerPlan(other) => {
                let requested_at = Time((self.now as f64 * self.planners[index].clock_rate) as u64);
                self.call(index, KvCall::PeerPlan { zone: other, requested_at });
            }
            Command::Send { endpoint, order, .. } => self.send(index, &endpoint, &order),
            Command::RecordDecision(text) => {
                let id = self.planners[index].id.clone();
                self.trace(format!("{id} decides {text}"));
            }
        }
    }

    fn call(&mut self, index: usize, call: KvCall) {
        let requester = Requester { planner: index, incarnation: self.planners[index].incarnation };
        let cut = self.cut_zone.as_ref() == Some(&self.planners[index].zone);
        let failure = call.failure();
        let slow = self.is_active(Fault::KvSlow);
        let request_delay = if slow {
            self.rng.random_range(0..4 * SECOND)
        } else {
            self.rng.random_range(MILLISECOND..20 * MILLISECOND)
        };
        let reply_delay = self.rng.random_range(MILLISECOND..20 * MILLISECOND);
        let lost = self.is_active(Fault::KvLoseReplies) && self.rng.random_bool(0.5);
        let replied = request_delay + reply_delay < KV_TIMEOUT && !lost;
        let now = self.now;
        if cut || self.is_active(Fault::KvDown) {
            self.schedule(now + KV_TIMEOUT, Event::KvReply(requester, failure));
            return;
        }
        let reply = replied.then_some(now + request_delay + reply_delay);
        self.schedule(now + request_delay, Event::KvArrive(requester, call, reply));
        if !replied {
            self.schedule(now + KV_TIMEOUT, Event::KvReply(requester, failure));
        }
    }

    fn send(&mut self, index: usize, endpoint: &EndpointId, order: &Order) {
        let requester = Requester { planner: index, incarnation: self.planners[index].incarnation };
        let Some(engine) = self.engines.iter().position(|engine| engine.id == *endpoint) else {
            return;
        };
        let id = self.planners[index].id.clone();
        self.trace(format!(
            "{id} sends {} fence {} to {endpoint}: {:?}",
            order.id, order.fence, order.action
        ));
        let max_delay = if self.engines[engine].checks_fence { 8 * SECOND } else { MAX_ORDER_DELAY };
        let late = self.is_active(Fault::DelayOrders) && self.rng.random_bool(0.5);
        let request_delay = if late {
            self.rng.random_range(0..max_delay)
        } else {
            self.rng.random_range(MILLISECOND..80 * MILLISECOND)
        };
        let lost = self.is_active(Fault::LoseOrders) && self.rng.random_bool(0.5);
        let reply_lost = lost || request_delay > ENGINE_TIMEOUT || self.rng.random_bool(0.02);
        let reply = (!reply_lost).then_some((requester, self.now + request_delay + MILLISECOND));
        let now = self.now;
        if reply_lost {
            let failure = Event::OrderReply(requester, endpoint.clone(), order.id, None);
            self.schedule(now + ENGINE_TIMEOUT, failure);
        }
        if !lost {
            self.schedule(now + request_delay, Event::OrderArrive { engine, order: order.clone(), reply });
        }
        if self.is_active(Fault::RepeatOrders) && self.rng.random_bool(0.7) {
            for _ in 0..self.rng.random_range(1..=3) {
                let at = now + self.rng.random_range(0..max_delay);
                self.schedule(at, Event::OrderArrive { engine, order: order.clone(), reply: None });
            }
        }
    }
}
