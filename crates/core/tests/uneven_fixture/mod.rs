//! Fixture for tests with endpoints of uneven speed: endpoints as queues with slots, and instances that see the loads in
//! their own responses at once and those of the others every half second.

use std::collections::VecDeque;
use std::time::Duration;

use carobwick_core::LoadReport;
use carobwick_core::Time;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::EndpointEntry;
use carobwick_core::gateway::EndpointTable;
use carobwick_core::gateway::PacedLoad;
use carobwick_core::gateway::PendingLoads;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::ResidentModels;
use carobwick_core::gateway::SendId;
use carobwick_core::gateway::SendOutcome;
use carobwick_core::gateway::SharedLoads;
use carobwick_core::gateway::Weights;
use carobwick_core::gateway::resolve_loads;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::endpoint_fixture::endpoint;

/// Step of the virtual time.
const STEP: Duration = Duration::from_millis(10);
/// Time from which on the load of the endpoints is measured.
const WARMUP_STEPS: u64 = 1_000;
/// End of the run.
const RUN_STEPS: u64 = 3_000;
/// Part of the work of a request after which its response begins.
const HEAD_FRACTION: f64 = 0.1;
/// Mean time between two slow phases of an endpoint, and mean length of one: 15 in 100 endpoints are slow at a time.
const USUAL_SECONDS: f64 = 3.4;
const SLOW_SECONDS: f64 = 0.6;
/// Time that work takes in a slow phase, relative to that outside of one.
const SLOW_FACTOR: f64 = 2.5;

/// Endpoints and instances of a run.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Speed of each endpoint, where 1 is usual.
    pub speeds: Vec<f64>,
    /// Slots of an endpoint.
    pub slots: u32,
    /// Requests that an endpoint queues before it declines more.
    pub max_queued: usize,
    /// Number of instances.
    pub instances: u32,
    /// Mean seconds of work of a request at the usual speed.
    pub work: f64,
    /// Requests that arrive, as a fraction of those that all endpoints can run.
    pub demand: f64,
    /// Whether the endpoints are model engines.
    pub engines: bool,
    /// Interval of the reports to the leader, and of its messages to the instances, in steps of 10 ms.
    pub report_steps: u64,
    /// What the endpoints name as the fourth figure.
    pub figure: Figure,
}

/// What an endpoint names as the fourth figure of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Figure {
    /// Nothing, as in older deployments.
    Absent,
    /// How long work takes at the moment, including its lasting speed.
    Present,
}

/// What was measured in a run.
#[derive(Debug, Clone, Copy)]
pub struct Measured {
    /// Busy time of the slots of the busiest endpoint, relative to the mean.
    pub busiest: f64,
    /// Part of the time in which some endpoint was idle while another queued.
    pub idle_while_queued: f64,
    /// Mean time from the arrival of a request to the head of its response, in seconds.
    pub mean_head: f64,
    /// Part of the requests that were declined.
    pub declined: f64,
    /// Requests that ended at the slowest endpoint, relative to the mean of all endpoints.
    pub slowest_share: f64,
}

struct Endpoint {
    entry: EndpointEntry,
    speed: f64,
    slow: bool,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    busy: f64,
    ended: u64,
}

struct Job {
    instance: usize,
    choice: Choice,
    send_id: SendId,
    arrived: Time,
    work: f64,
    remaining: f64,
    responded: bool,
}

struct Fleet {
    deployment: Deployment,
    endpoints: Vec<Endpoint>,
    balancers: Vec<Balancer>,
    leader: PendingLoads,
    rng: ChaCha8Rng,
    sent: u64,
    declined: u64,
    heads: Vec<f64>,
    idle_steps: u64,
}

/// Returns the speeds of endpoints that differ by what is stated for them.
pub fn uneven_speeds(count: usize) -> Vec<f64> {
    (0..count).map(|index| 0.55 + 0.65 * index as f64 / (count - 1) as f64).collect()
}

/// Runs a deployment with a seed.
pub fn run(deployment: &Deployment, seed: u64) -> Measured {
    let mut fleet = Fleet::new(deployment, seed);
    for step in 0..RUN_STEPS {
        fleet.advance(step);
    }
    fleet.measured()
}

impl Fleet {
    fn new(deployment: &Deployment, seed: u64) -> Self {
        let endpoints = deployment.speeds.iter().enumerate().map(|(index, speed)| Endpoint {
            entry: EndpointEntry {
                slots: deployment.slots,
                ..endpoint(format!("e{index}").parse().unwrap(), "s", "z", ResidentModels::default())
            },
            speed: *speed,
            slow: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            busy: 0.0,
            ended: 0,
        });
        let balancer = |_| {
            let mut balancer = Balancer::new("z".parse().unwrap());
            balancer.set_instances(deployment.instances);
            balancer
        };
        Self {
            endpoints: endpoints.collect(),
            balancers: (0..deployment.instances).map(balancer).collect(),
            deployment: deployment.clone(),
            leader: PendingLoads::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: 0,
            declined: 0,
            heads: Vec::new(),
            idle_steps: 0,
        }
    }

    fn advance(&mut self, step: u64) {
        let now = Time::ZERO + STEP * u32::try_from(step).unwrap();
        self.change_phases();
        for _ in 0..self.arrivals() {
            self.send(now);
        }
        for index in 0..self.endpoints.len() {
            self.work(index, now, step >= WARMUP_STEPS);
        }
        self.share_loads(step, now);
        if step >= WARMUP_STEPS {
            self.measure_idle();
        }
    }

    fn change_phases(&mut self) {
        for endpoint in &mut self.endpoints {
            let mean = if endpoint.slow { SLOW_SECONDS } else { USUAL_SECONDS };
            if self.rng.random_bool(STEP.as_secs_f64() / mean) {
                endpoint.slow = !endpoint.slow;
            }
        }
    }

    /// Returns the number of requests that arrive in a step, with a binomial spread.
    fn arrivals(&mut self) -> usize {
        let slow_share = SLOW_SECONDS / (SLOW_SECONDS + USUAL_SECONDS);
        let usable = 1.0 - slow_share + slow_share / SLOW_FACTOR;
        let speed: f64 = self.deployment.speeds.iter().sum();
        let capacity = speed * f64::from(self.deployment.slots) * usable / self.deployment.work;
        let mean = capacity * self.deployment.demand * STEP.as_secs_f64();
        let draws = (4.0 * mean).ceil();
        (0..draws as usize).filter(|_| self.rng.random_bool(mean / draws)).count()
    }

    fn send(&mut self, now: Time) {
        self.sent += 1;
        let request = self.request();
        let instance = self.rng.random_range(0..self.balancers.len());
        let work = -self.deployment.work * (1.0 - self.rng.random::<f64>()).ln();
        let entries = self.endpoints.iter().map(|endpoint| &endpoint.entry);
        let balancer = &mut self.balancers[instance];
        let choice = balancer.choose(&request, entries, now).expect("an endpoint accepts requests");
        let send_id = balancer.record_sent(&request, &choice, now);
        let endpoint = self.endpoints.iter_mut().find(|endpoint| endpoint.entry.id == choice.id).unwrap();
        if endpoint.queue.len() >= self.deployment.max_queued {
            self.declined += 1;
            let load = Some(endpoint.load(self.deployment.figure));
            balancer.record_response(&choice, send_id, load, now);
            balancer.record_finished(&choice, send_id, SendOutcome::Declined, now);
            return;
        }
        endpoint.queue.push_back(Job {
            instance,
            choice,
            send_id,
            arrived: now,
            work,
            remaining: work,
            responded: false,
        });
    }

    fn request(&mut self) -> RequestHead {
        let weights = Weights { model: "m".parse().unwrap(), adapter: None };
        RequestHead {
            attempt_id: format!("{:016x}", self.sent),
            weights: self.deployment.engines.then_some(weights),
            prompt_tokens: if self.deployment.engines { self.rng.random_range(100..4_000) } else { 0 },
            ..RequestHead::default()
        }
    }

    /// Runs the requests of an endpoint for a step.
    fn work(&mut self, index: usize, now: Time, measured: bool) {
        let endpoint = &mut self.endpoints[index];
        while endpoint.running.len() < self.deployment.slots as usize {
            let Some(job) = endpoint.queue.pop_front() else { break };
            endpoint.running.push(job);
        }
        if measured {
            endpoint.busy += endpoint.running.len() as f64;
        }
        let done = STEP.as_secs_f64() / endpoint.ratio();
        let load = Some(endpoint.load(self.deployment.figure));
        for job in &mut endpoint.running {
            job.remaining -= done;
            if !job.responded && job.remaining <= job.work * (1.0 - HEAD_FRACTION) {
                job.responded = true;
                self.heads.extend(measured.then(|| (now - job.arrived).as_secs_f64()));
                self.balancers[job.instance].record_response(&job.choice, job.send_id, load, now);
            }
        }
        for job in endpoint.running.extract_if(.., |job| job.remaining <= 0.0) {
            let balancer = &mut self.balancers[job.instance];
            balancer.record_finished(&job.choice, job.send_id, SendOutcome::Good, now);
            if measured {
                endpoint.ended += 1;
            }
        }
    }

    /// Passes loads to the leader and from there to all instances, each instance at a time of its own.
    fn share_loads(&mut self, step: u64, now: Time) {
        let interval = self.deployment.report_steps;
        for (index, balancer) in self.balancers.iter_mut().enumerate() {
            if step % interval == index as u64 % interval {
                self.leader.extend(&balancer.take_loads());
            }
        }
        if step.is_multiple_of(interval) {
            let shared = self.leader.take();
            self.receive(&shared, now);
        }
    }

    fn receive(&mut self, shared: &SharedLoads, now: Time) {
        let mut table = EndpointTable::default();
        table.replace(self.endpoints.iter().map(|endpoint| endpoint.entry.clone()).collect(), now);
        let loads: Vec<_> = resolve_loads(shared, &table).collect();
        for balancer in &mut self.balancers {
            for (id, incarnation, load) in &loads {
                balancer.record_relayed(id, *incarnation, *load, now);
            }
        }
    }

    fn measure_idle(&mut self) {
        let queued = self.endpoints.iter().any(|endpoint| !endpoint.queue.is_empty());
        let least = self.endpoints.iter().map(|endpoint| endpoint.running.len()).min().unwrap_or(0);
        self.idle_steps += u64::from(queued && least == 0);
    }

    fn measured(self) -> Measured {
        let steps = (RUN_STEPS - WARMUP_STEPS) as f64;
        let count = self.endpoints.len() as f64;
        let busy = self.endpoints.iter().map(|endpoint| endpoint.busy);
        let mean_busy = busy.clone().sum::<f64>() / count;
        let mean_ended = self.endpoints.iter().map(|endpoint| endpoint.ended).sum::<u64>() as f64 / count;
        let slowest = self.endpoints.iter().min_by(|a, b| a.speed.total_cmp(&b.speed)).unwrap();
        Measured {
            busiest: busy.fold(0.0, f64::max) / mean_busy,
            idle_while_queued: self.idle_steps as f64 / steps,
            mean_head: self.heads.iter().sum::<f64>() / self.heads.len() as f64,
            declined: self.declined as f64 / self.sent as f64,
            slowest_share: slowest.ended as f64 / mean_ended,
        }
    }
}

impl std::fmt::Display for Measured {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { busiest, idle_while_queued, mean_head, declined, slowest_share } = self;
        write!(
            f,
            "busiest {busiest:.3}, idle while queued {idle_while_queued:.4}, head after {mean_head:.4} s, "
        )?;
        write!(f, "declined {declined:.4}, slowest share {slowest_share:.3}")
    }
}

impl Endpoint {
    /// Returns the time that work takes, relative to the usual time.
    fn ratio(&self) -> f64 {
        let phase = if self.slow { SLOW_FACTOR } else { 1.0 };
        phase / self.speed
    }

    fn load(&self, figure: Figure) -> PacedLoad {
        let ratio = match figure {
            Figure::Absent => None,
            Figure::Present => Some(self.ratio()),
        };
        let pace = ratio.map(|ratio| (ratio * 100.0).round().to_string().parse().unwrap());
        let (running, queued) = (self.running.len() as u32, self.queue.len() as u32);
        PacedLoad { load: LoadReport { running, queued, ..LoadReport::default() }, pace }
    }
}
