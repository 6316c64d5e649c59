use carobwick_core::Command;
use carobwick_core::EndpointId;
use carobwick_core::LeaseStep;
use carobwick_core::Order;
use carobwick_core::Time;
use rand::Rng;

use super::fault::Fault;
use super::kv::KvCall;
use super::world::Caller;
use super::world::ENGINE_TIMEOUT;
use super::world::Event;
use super::world::MS;
use super::world::SECOND;
use super::world::World;

/// Timeout of a call to the key-value service.
const KV_TIMEOUT: u64 = SECOND;

/// Longest flight of an order to an engine that ignores fencing numbers, which the design assumes.
const MAX_FLIGHT: u64 = 3 * SECOND;

impl World {
    pub(super) fn poll(&mut self, index: usize, endpoint: &EndpointId, asked: (Time, u64)) {
        let now = self.now;
        let losing = self.holds(Fault::LosePolls);
        let planner = &mut self.planners[index];
        let caller = Caller { planner: index, run: planner.run };
        if planner.polls.get(endpoint).is_some_and(|until| *until > now) {
            return;
        }
        let Some(engine) = self.engines.iter().position(|engine| engine.id == *endpoint) else {
            return;
        };
        let arrive = now + self.rng.random_range(MS..50 * MS);
        let reply = arrive + self.rng.random_range(MS..50 * MS);
        // An engine that stays silent counts as down, so polls are not lost twice in a row.
        let often = if losing { 0.6 } else { 0.01 };
        let lost = !planner.lost.remove(endpoint) && self.rng.random_bool(often);
        if lost {
            planner.lost.insert(endpoint.clone());
        }
        planner.polls.insert(endpoint.clone(), now + if lost { ENGINE_TIMEOUT } else { SECOND });
        if !lost {
            self.schedule(arrive, Event::PollArrive { engine, caller, asked, reply });
        }
    }

    pub(super) fn run(&mut self, index: usize, command: Command) {
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
                let asked = Time((self.now as f64 * self.planners[index].rate) as u64);
                self.call(index, KvCall::Zone { zone: other, asked });
            }
            Command::Send { endpoint, order, .. } => self.send(index, &endpoint, &order),
            Command::RecordDecision(text) => {
                let id = self.planners[index].id.clone();
                self.note(format!("{id} decides {text}"));
            }
        }
    }

    fn call(&mut self, index: usize, call: KvCall) {
        let caller = Caller { planner: index, run: self.planners[index].run };
        let cut = self.cut.as_ref() == Some(&self.planners[index].zone);
        let failure = call.failure();
        let slow = self.holds(Fault::KvSlow);
        let flight =
            if slow { self.rng.random_range(0..4 * SECOND) } else { self.rng.random_range(MS..20 * MS) };
        let back = self.rng.random_range(MS..20 * MS);
        let lost = self.holds(Fault::KvLoseReplies) && self.rng.random_bool(0.5);
        let answered = flight + back < KV_TIMEOUT && !lost;
        let now = self.now;
        if cut || self.holds(Fault::KvDown) {
            self.schedule(now + KV_TIMEOUT, Event::KvReply(caller, failure));
            return;
        }
        let reply = answered.then_some(now + flight + back);
        self.schedule(now + flight, Event::KvArrive(caller, call, reply));
        if !answered {
            self.schedule(now + KV_TIMEOUT, Event::KvReply(caller, failure));
        }
    }

    fn send(&mut self, index: usize, endpoint: &EndpointId, order: &Order) {
        let caller = Caller { planner: index, run: self.planners[index].run };
        let Some(engine) = self.engines.iter().position(|engine| engine.id == *endpoint) else {
            return;
        };
        let id = self.planners[index].id.clone();
        self.note(format!("{id} sends {} fence {} to {endpoint}: {:?}", order.id, order.fence, order.action));
        let longest = if self.engines[engine].checks { 8 * SECOND } else { MAX_FLIGHT };
        let late = self.holds(Fault::DelayOrders) && self.rng.random_bool(0.5);
        let flight =
            if late { self.rng.random_range(0..longest) } else { self.rng.random_range(MS..80 * MS) };
        let lost = self.holds(Fault::LoseOrders) && self.rng.random_bool(0.5);
        let reply_lost = lost || flight > ENGINE_TIMEOUT || self.rng.random_bool(0.02);
        let reply = (!reply_lost).then_some((caller, self.now + flight + MS));
        let now = self.now;
        if reply_lost {
            let failure = Event::OrderReply(caller, endpoint.clone(), order.id, None);
            self.schedule(now + ENGINE_TIMEOUT, failure);
        }
        if !lost {
            self.schedule(now + flight, Event::OrderArrive { engine, order: order.clone(), reply });
        }
        if self.holds(Fault::RepeatOrders) && self.rng.random_bool(0.7) {
            for _ in 0..self.rng.random_range(1..=3) {
                let again = now + self.rng.random_range(0..longest);
                self.schedule(again, Event::OrderArrive { engine, order: order.clone(), reply: None });
            }
        }
    }
}
