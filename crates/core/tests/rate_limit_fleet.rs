//! Seeded runs of many instances that share the rate limit of one endpoint, while leaders change and instances
//! are cut off, paused and restarted.
//!
//! `CAROBWICK_LIMIT_SEEDS=1-200` chooses the seeds.

mod endpoint_fixture;

use std::collections::BTreeMap;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::Millis;
use carobwick_core::Rate;
use carobwick_core::Time;
use carobwick_core::gateway::AnnouncedLimit;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::LimitNews;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::Ticket;
use carobwick_core::gateway::TokenIssuer;
use carobwick_core::gateway::TokenReplies;
use carobwick_core::gateway::TokenReply;
use carobwick_core::gateway::TokenRequest;
use endpoint_fixture::endpoint;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

const INCARNATION: Incarnation = Incarnation(1);
/// Window over which the endpoint counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Time for which a token may be used.
const TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Time after which an instance notices that the leader is silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time until a lost leader is replaced.
const ELECTION_TIME: Duration = Duration::from_secs(3);
/// Time after the first limit from which on requests are counted.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Time for which an instance must have known the limit for its requests to be counted.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Time at which the endpoint names its limit for the first time.
const LIMIT_START: Time = Time(2_000_000);
const RUN_TIME: Time = Time(60_000_000);

/// Something that happens at an instance, the leader or the endpoint.
enum Event {
    /// A caller's request arrives at an instance.
    Call,
    /// A request of an instance arrives at the endpoint.
    Arrival(usize),
    /// A response arrives at the instance whose request was sent at a time.
    Response { to: usize, sent: Time, limit: AnnouncedLimit },
    /// A message of an instance arrives at the leader of a term.
    ToLeader { term: u64, message: Message },
    /// A message of the leader of a term arrives at an instance.
    ToInstance { to: usize, term: u64, message: Message },
    /// The leader issues tokens that are due.
    Tick,
    /// A random fault begins.
    Fault,
    /// A new leader is elected for a term.
    Elect(u64),
    /// An instance connects to the leader of a term.
    Connect { instance: usize, term: u64 },
    /// An instance notices that it has lost the leader of a term.
    Disconnect { instance: usize, term: u64 },
}

enum Message {
    Limit { limit: Option<Rate>, heard: Time },
    Request { request: TokenRequest, limit: Rate, heard: Time },
    Token { asked: Time, reply: TokenReply },
}

struct Instance {
    balancer: Balancer,
    /// Term of the leader to which it is connected.
    term: Option<u64>,
    paused_until: Time,
    /// Time at which it last heard of the limit in a response for the first time since its start.
    first_heard: Option<Time>,
    /// Time until which its messages to and from the leader are lost.
    cut_until: Time,
    asked: BTreeMap<u64, Time>,
}

struct Fleet {
    rng: ChaCha8Rng,
    now: Time,
    events: BTreeMap<(Time, u64), Event>,
    last_event: u64,
    last_ticket: u64,
    instances: Vec<Instance>,
    issuer: TokenIssuer,
    /// Term and instance of the leader.
    leader: Option<(u64, usize)>,
    term: u64,
    rate: f64,
    calls_per_second: f64,
    has_faults: bool,
    /// Counted arrivals.
    counted: Vec<Time>,
    arrivals: usize,
}

impl Instance {
    fn new() -> Self {
        Self {
            balancer: Balancer::new("z1".parse().unwrap()),
            term: None,
            paused_until: Time::ZERO,
            first_heard: None,
            cut_until: Time::ZERO,
            asked: BTreeMap::new(),
        }
    }
}

fn id() -> EndpointId {
    "a".parse().unwrap()
}

fn choice() -> Choice {
    Choice::new(&endpoint(id(), "s", "z1", ResidentModels::default()), 0.0)
}

fn instance_index(ticket: &Ticket) -> usize {
    ticket.instance.as_str()[1..].parse().unwrap()
}

impl Fleet {
    fn new(seed: u64, instances: usize, has_faults: bool) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let rate = [0.2, 1.0, 1.2, 3.0, 12.0][rng.random_range(0..5)];
        let mut fleet = Self {
            now: Time::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            last_ticket: 0,
            instances: (0..instances).map(|_| Instance::new()).collect(),
            issuer: TokenIssuer::default(),
            leader: None,
            term: 0,
            rate,
            calls_per_second: rate * rng.random_range(2.0..20.0) + 2.0,
            has_faults,
            counted: Vec::new(),
            arrivals: 0,
            rng,
        };
        fleet.schedule(Duration::ZERO, Event::Elect(1));
        fleet.term = 1;
        fleet.schedule(Duration::from_secs(1), Event::Call);
        fleet.schedule(Duration::ZERO, Event::Tick);
        fleet.schedule(Duration::from_secs(4), Event::Fault);
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        self.events.insert((self.now + delay, self.last_event), event);
    }

    fn latency(&mut self, longest_ms: u64) -> Duration {
        Duration::from_micros(self.rng.random_range(500..longest_ms * 1_000))
    }

    fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > RUN_TIME {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let place = match &event {
            Event::Response { to, .. } | Event::ToInstance { to, .. } => Some(*to),
            Event::Connect { instance, .. } | Event::Disconnect { instance, .. } => Some(*instance),
            _ => None,
        };
        // A paused instance handles what has arrived when it goes on.
        if let Some(resumed) = place.map(|index| self.instances[index].paused_until)
            && resumed > self.now
        {
            let delay = resumed - self.now;
            return self.schedule(delay, event);
        }
        match event {
            Event::Call => self.call(),
            Event::Arrival(from) => self.arrive(from),
            Event::Response { to, sent, limit } => self.respond(to, sent, limit),
            Event::ToLeader { term, message } => self.receive_as_leader(term, message),
            Event::ToInstance { to, term, message } => self.receive(to, term, &message),
            Event::Tick => self.tick(),
            Event::Fault => self.inject_fault(),
            Event::Elect(term) => self.elect(term),
            Event::Connect { instance, term } => self.connect(instance, term),
            Event::Disconnect { instance, term } => self.disconnect(instance, term),
        }
    }

    /// Sends a caller's request through an instance; a few of them get most of the requests.
    fn call(&mut self) {
        let pause = self.rng.random_range(0.0..2.0) / self.calls_per_second;
        self.schedule(Duration::from_secs_f64(pause), Event::Call);
        let skew = self.rng.random_range(0.0_f64..1.0).powi(3);
        let index = (skew * self.instances.len() as f64) as usize;
        if self.instances[index].paused_until > self.now {
            return;
        }
        let instances = Some(self.instances.len() as u32);
        let (now, draw) = (self.now, self.rng.random());
        let instance = &mut self.instances[index];
        let Some((limit, heard)) = instance.balancer.limit(&choice()) else {
            return self.send(index);
        };
        let entry = endpoint(id(), "s", "z1", ResidentModels::default());
        let is_denied = instance.balancer.choose(&RequestHead::default(), [entry].iter(), now).is_none();
        let Some(term) = instance.term else {
            if !is_denied && instance.balancer.take_share(&choice(), instances, draw, now) {
                self.send(index);
            }
            return;
        };
        let max_wait =
            if is_denied || self.rng.random_bool(0.5) { self.rng.random_range(500..3_000) } else { 0 };
        self.last_ticket += 1;
        let ticket = Ticket { instance: format!("i{index}").parse().unwrap(), number: self.last_ticket };
        self.instances[index].asked.insert(self.last_ticket, now);
        let priority = self.rng.random_range(0..3);
        let request = TokenRequest { ticket, priority, waited: Millis(0), max_wait: Millis(max_wait) };
        self.send_to_leader(index, term, Message::Request { request, limit, heard });
    }

    fn send(&mut self, from: usize) {
        let delay = self.latency(40);
        self.schedule(delay, Event::Arrival(from));
    }

    fn arrive(&mut self, from: usize) {
        let is_limited = self.now >= LIMIT_START;
        let known = self.instances[from].first_heard.is_some_and(|heard| self.now >= heard + NOTICE_TIME);
        if known && self.now >= LIMIT_START + SETTLING_TIME {
            self.counted.push(self.now);
        }
        self.arrivals += usize::from(self.now >= LIMIT_START + SETTLING_TIME);
        let limit =
            if is_limited { AnnouncedLimit::Limited(Rate(self.rate)) } else { AnnouncedLimit::Unlimited };
        let (sent, delay) = (self.now, self.latency(60));
        self.schedule(delay, Event::Response { to: from, sent, limit });
    }

    fn respond(&mut self, to: usize, sent: Time, limit: AnnouncedLimit) {
        let now = self.now;
        let instance = &mut self.instances[to];
        if limit != AnnouncedLimit::Unlimited {
            instance.first_heard.get_or_insert(now);
        }
        let news = instance.balancer.record_limit(&choice(), limit, sent, now);
        if let (LimitNews::Report(limit), Some(term)) = (news, instance.term) {
            self.send_to_leader(to, term, Message::Limit { limit, heard: now });
        }
    }

    fn send_to_leader(&mut self, from: usize, term: u64, message: Message) {
        if self.instances[from].cut_until <= self.now {
            let delay = self.latency(4);
            self.schedule(delay, Event::ToLeader { term, message });
        }
    }

    fn send_to_instance(&mut self, to: usize, term: u64, message: Message) {
        if self.instances[to].cut_until <= self.now {
            let delay = self.latency(4);
            self.schedule(delay, Event::ToInstance { to, term, message });
        }
    }

    fn receive_as_leader(&mut self, term: u64, message: Message) {
        if self.leader.is_none_or(|(current, _)| current != term) {
            return;
        }
        let now = self.now;
        match message {
            Message::Limit { limit, heard } => {
                if self.issuer.apply(&id(), INCARNATION, limit, heard, now) {
                    self.broadcast_limit(term);
                }
            }
            Message::Request { request, limit, heard } => {
                if self.issuer.learn(&id(), INCARNATION, limit, heard, now) {
                    self.broadcast_limit(term);
                }
                let replies = self.issuer.request(&id(), INCARNATION, request, now);
                self.send_replies(term, replies);
            }
            Message::Token { .. } => unreachable!("the leader issues tokens"),
        }
    }

    fn broadcast_limit(&mut self, term: u64) {
        let limit = self.issuer.limit(&id(), INCARNATION);
        for index in 0..self.instances.len() {
            if self.instances[index].term == Some(term) {
                let heard = self.now;
                self.send_to_instance(index, term, Message::Limit { limit, heard });
            }
        }
    }

    fn send_replies(&mut self, term: u64, replies: TokenReplies) {
        for (ticket, reply) in replies {
            let index = instance_index(&ticket);
            // A reply to a request before a restart finds no request.
            if let Some(asked) = self.instances[index].asked.remove(&ticket.number) {
                self.send_to_instance(index, term, Message::Token { asked, reply });
            }
        }
    }

    fn receive(&mut self, to: usize, term: u64, message: &Message) {
        let now = self.now;
        let instance = &mut self.instances[to];
        if instance.term != Some(term) {
            return;
        }
        match *message {
            Message::Limit { limit, .. } => instance.balancer.set_limit(&id(), INCARNATION, limit, now),
            Message::Token { asked, reply: TokenReply::Granted(waited) } => {
                if now < asked + waited.duration() + TOKEN_LIFETIME {
                    self.send(to);
                }
            }
            Message::Token { reply: TokenReply::Denied(wait), .. } => {
                instance.balancer.record_denied(&choice(), wait.duration(), now);
            }
            Message::Request { .. } => unreachable!("instances request tokens"),
        }
    }

    fn tick(&mut self) {
        self.schedule(Duration::from_millis(5), Event::Tick);
        if let Some((term, _)) = self.leader {
            let replies = self.issuer.advance(self.now);
            self.send_replies(term, replies);
        }
    }

    fn elect(&mut self, term: u64) {
        if self.term != term {
            return;
        }
        let index = self.rng.random_range(0..self.instances.len());
        self.leader = Some((term, index));
        self.issuer = TokenIssuer::default();
        for (id, incarnation, rate, heard) in self.instances[index].balancer.limits() {
            self.issuer.apply(id, incarnation, Some(rate), heard, self.now);
        }
        for instance in 0..self.instances.len() {
            let delay = self.latency(1_000);
            self.schedule(delay, Event::Connect { instance, term });
        }
    }

    fn connect(&mut self, index: usize, term: u64) {
        if self.leader.is_none_or(|(current, _)| current != term) || self.instances[index].term.is_some() {
            return;
        }
        if self.instances[index].cut_until > self.now {
            let delay = self.latency(1_000);
            return self.schedule(delay, Event::Connect { instance: index, term });
        }
        let now = self.now;
        let instance = &mut self.instances[index];
        instance.term = Some(term);
        instance.balancer.reset_shares(now);
        if let Some((limit, heard)) = instance.balancer.limit(&choice()) {
            self.send_to_leader(index, term, Message::Limit { limit: Some(limit), heard });
        }
        if let Some(limit) = self.issuer.limit(&id(), INCARNATION) {
            self.send_to_instance(index, term, Message::Limit { limit: Some(limit), heard: now });
        }
    }

    fn disconnect(&mut self, index: usize, term: u64) {
        let now = self.now;
        let instance = &mut self.instances[index];
        if instance.term != Some(term) {
            return;
        }
        instance.term = None;
        instance.asked.clear();
        instance.balancer.reset_shares(now);
        let delay = self.latency(1_000);
        self.schedule(delay, Event::Connect { instance: index, term });
    }

    fn inject_fault(&mut self) {
        let pause = self.rng.random_range(200..3_000);
        self.schedule(Duration::from_millis(pause), Event::Fault);
        if !self.has_faults {
            return;
        }
        let index = self.rng.random_range(0..self.instances.len());
        let length = Duration::from_millis(self.rng.random_range(100..8_000));
        match self.rng.random_range(0..8) {
            0 => self.lose_leader(),
            1 | 2 => {
                self.instances[index].paused_until = self.now + length;
                if self.leader.is_some_and(|(_, leader)| leader == index) {
                    self.lose_leader();
                }
            }
            3 | 4 => self.restart(index),
            _ => {
                self.instances[index].cut_until = self.now + length;
                if let Some(term) = self.instances[index].term
                    && length > SILENCE_TIMEOUT
                {
                    self.schedule(SILENCE_TIMEOUT, Event::Disconnect { instance: index, term });
                }
            }
        }
    }

    /// Ends the leader's term; the instances notice it at once or after a silence.
    fn lose_leader(&mut self) {
        let Some((term, _)) = self.leader.take() else { return };
        let is_silent = self.rng.random_bool(0.5);
        for instance in 0..self.instances.len() {
            let delay = if is_silent { SILENCE_TIMEOUT } else { self.latency(4) };
            self.schedule(delay, Event::Disconnect { instance, term });
        }
        self.term = term + 1;
        self.schedule(ELECTION_TIME, Event::Elect(term + 1));
    }

    fn restart(&mut self, index: usize) {
        if self.leader.is_some_and(|(_, leader)| leader == index) {
            self.lose_leader();
        }
        self.instances[index] = Instance::new();
        if let Some((term, _)) = self.leader {
            let delay = self.latency(1_000);
            self.schedule(delay, Event::Connect { instance: index, term });
        }
    }

    fn most_in_window(&self) -> usize {
        let times = &self.counted;
        let end_of_window = |start: &Time| times.partition_point(|at| *at < *start + WINDOW);
        times.iter().enumerate().map(|(index, start)| end_of_window(start) - index).max().unwrap_or(0)
    }

    fn allowed(&self) -> usize {
        (1.5 * self.rate * WINDOW.as_secs_f64() + 5.0) as usize
    }
}

fn seeds() -> std::ops::RangeInclusive<u64> {
    let text = std::env::var("CAROBWICK_LIMIT_SEEDS").unwrap_or_else(|_| "1-10".to_owned());
    let (first, last) = text.split_once('-').expect("CAROBWICK_LIMIT_SEEDS has the form FIRST-LAST");
    first.parse().unwrap()..=last.parse().unwrap()
}

/// Guards against instances that together send more than the limit of an endpoint allows while leaders change
/// and instances are cut off, paused and restarted.
#[test_case(9)]
#[test_case(67)]
#[test_case(295)]
fn no_window_exceeds_the_limit_while_leaders_and_instances_fail(instances: usize) {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, instances, true);
        fleet.run();
        let (most, allowed) = (fleet.most_in_window(), fleet.allowed());
        assert!(
            most <= allowed,
            "seed {seed}, rate {}: {most} in {WINDOW:?}, {allowed} are allowed",
            fleet.rate
        );
    }
}

/// Guards against a limit that keeps the endpoint from getting the requests that it accepts.
#[test_case(9)]
#[test_case(67)]
#[test_case(295)]
fn the_rate_of_a_limit_is_used_while_demand_exceeds_it(instances: usize) {
    for seed in seeds() {
        let mut fleet = Fleet::new(seed, instances, false);
        fleet.run();
        let expected = fleet.rate * (RUN_TIME - (LIMIT_START + SETTLING_TIME)).as_secs_f64();
        let used = fleet.arrivals as f64 / expected;
        assert!(used >= 0.8, "seed {seed}, rate {}: {used:.2} of the rate is used", fleet.rate);
        assert!(fleet.most_in_window() <= fleet.allowed(), "seed {seed}");
    }
}
