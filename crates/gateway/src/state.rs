use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::Incarnation;
use carobwick_core::ServiceId;
use carobwick_core::Time;
use carobwick_core::Version;
use carobwick_core::gateway::Balancer;
use carobwick_core::gateway::Choice;
use carobwick_core::gateway::ConfigFreshness;
use carobwick_core::gateway::DemandSample;
use carobwick_core::gateway::EndpointNotice;
use carobwick_core::gateway::EndpointTable;
use carobwick_core::gateway::QuotaMeter;
use carobwick_core::gateway::RequestHead;
use carobwick_core::gateway::RetryBudget;
use carobwick_core::gateway::RouteTable;
use carobwick_core::gateway::SharedLoads;
use carobwick_core::gateway::StreamOrigin;
use carobwick_core::gateway::StreamTable;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::SuspectTable;
use carobwick_core::gateway::TokenReply;
use carobwick_core::gateway::Weights;
use carobwick_core::gateway::resolve_loads;
use carobwick_runtime::now;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::Settings;
use crate::Terms;
use crate::WireFormat;
use crate::buffer::BufferBudget;
use crate::caller_connections::CallerConnections;
use crate::message::FollowerMessage;
use crate::message::ListUpdate;
use crate::meters::Meters;
use crate::meters::SendKind;
use crate::pending_replies::PendingReplies;
use crate::pool::Pool;

/// Least time between two requests for the same model or adapter while it is resident, but in other zones only
/// or at endpoints that limit their rate.
const WEIGHTS_REQUEST_INTERVAL: Duration = Duration::from_secs(3);

/// State shared by the tasks of one instance, all of which run on one thread.
pub(crate) struct State {
    pub settings: Settings,
    /// Reloadable settings in force, which may differ from those at the start.
    pub terms: Cell<Terms>,
    pub wire: Box<dyn WireFormat>,
    pub route_table: RefCell<Option<Arc<RouteTable>>>,
    pub endpoints: RefCell<EndpointTable>,
    /// Time at which the list of endpoints was first known.
    pub list_known: Cell<Option<Time>>,
    pub balancer: RefCell<Balancer>,
    pub suspects: RefCell<SuspectTable>,
    /// Sends convicted suspects to the task that writes them to the store.
    pub convicted: mpsc::UnboundedSender<Suspect>,
    pub pool: Pool,
    /// Memory for the requests of callers and their responses.
    pub buffers: Rc<BufferBudget>,
    /// Connections of callers.
    pub connections: Rc<CallerConnections>,
    pub meters: Meters,
    /// Notifies requests that wait for an endpoint.
    pub endpoints_changed: Notify,
    /// Number of requests for which no endpoint has been chosen yet.
    pub unplaced: Cell<usize>,
    pub stopping: Cell<bool>,
    /// Cancelled when a stopping instance begins to refuse the requests that it has not passed on, since it could not
    /// wait for their responses.
    pub refusing: CancellationToken,
    /// Cancelled shortly before a stopping instance aborts the requests in flight.
    pub stop_ending: CancellationToken,
    retry_budgets: RefCell<IndexMap<ServiceId, RetryBudget>>,
    /// Time of the last heartbeat of a leader to which all instances had time to connect.
    pub settled: Cell<Option<Time>>,
    /// Whether this instance has learned which versions had served before it started.
    pub history_known: Cell<bool>,
    /// Time at which the last successful read of the list of endpoints was sent to the store.
    pub list_read: Cell<Option<Time>>,
    /// Asks the reader of the list for a read.
    pub list_requested: Notify,
    /// Number of instances that share the retry budget, once the leader has sent it.
    instances: Cell<Option<u32>>,
    demand: RefCell<IndexMap<(ServiceId, Weights), DemandSample>>,
    /// Requests for tokens that the leader has not answered.
    pub token_requests: PendingReplies<TokenReply>,
    /// Requests for trials that the leader has not answered.
    pub trial_requests: PendingReplies<bool>,
    /// Notifies requests that wait for the outcome of a trial.
    pub suspects_changed: Notify,
    /// Streams that callers may take up again.
    pub streams: RefCell<StreamTable>,
    /// Notifies requests that wait for the version that began a stream.
    pub streams_changed: Notify,
    /// Usage of tenants with a quota.
    pub quotas: RefCell<QuotaMeter>,
    pub leader_sender: RefCell<Option<mpsc::UnboundedSender<FollowerMessage>>>,
    /// Whether there has been a connection to a leader since the start.
    pub has_joined: Cell<bool>,
    /// Whether the leader confirms streams, as far as is known.
    pub leader_confirms: Cell<bool>,
    /// Age of the configuration in force, by which it is decided when to read it again.
    pub freshness: RefCell<ConfigFreshness>,
    /// Version of the configuration that the leader has sent last.
    leader_version: Cell<Option<Version>>,
    /// Notifies the reader of the configuration that the leader has sent a version.
    pub leader_version_changed: Notify,
    /// Sends the leader's updates to the reader of the list.
    list_updates: mpsc::UnboundedSender<ListUpdate>,
    /// Time of the last request for each model or adapter that is resident somewhere.
    weights_requests: RefCell<IndexMap<Weights, Time>>,
}

impl std::fmt::Debug for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("State").field("instance", &self.settings.instance).finish_non_exhaustive()
    }
}

impl State {
    pub fn new(
        settings: Settings,
        wire: Box<dyn WireFormat>,
        meters: Meters,
        list_updates: mpsc::UnboundedSender<ListUpdate>,
        convicted: mpsc::UnboundedSender<Suspect>,
    ) -> Self {
        let balancer = Balancer::new(settings.zone.clone());
        let buffers = BufferBudget::new(settings.size.memory);
        let connections = CallerConnections::new(settings.size.memory, settings.max_fds, &buffers);
        Self {
            terms: Cell::new(settings.terms),
            freshness: RefCell::new(ConfigFreshness::new(settings.terms.apply)),
            settings,
            wire,
            route_table: RefCell::default(),
            endpoints: RefCell::default(),
            list_known: Cell::default(),
            balancer: RefCell::new(balancer),
            suspects: RefCell::default(),
            convicted,
            pool: Pool::default(),
            buffers,
            connections,
            meters,
            endpoints_changed: Notify::new(),
            unplaced: Cell::new(0),
            stopping: Cell::new(false),
            refusing: CancellationToken::new(),
            stop_ending: CancellationToken::new(),
            retry_budgets: RefCell::default(),
            settled: Cell::default(),
            history_known: Cell::new(false),
            list_read: Cell::default(),
            list_requested: Notify::new(),
            instances: Cell::default(),
            demand: RefCell::default(),
            token_requests: PendingReplies::default(),
            trial_requests: PendingReplies::default(),
            suspects_changed: Notify::new(),
            streams: RefCell::default(),
            streams_changed: Notify::new(),
            quotas: RefCell::default(),
            leader_sender: RefCell::default(),
            has_joined: Cell::new(false),
            leader_confirms: Cell::new(true),
            leader_version: Cell::default(),
            leader_version_changed: Notify::new(),
            list_updates,
            weights_requests: RefCell::default(),
        }
    }

    /// Returns whether the instance is ready to accept connections.
    pub fn is_ready(&self) -> bool {
        let is_known = self.list_known.get().is_some() && self.route_table.borrow().is_some();
        !self.stopping.get() && is_known && !self.is_joining()
    }

    /// Applies reloaded settings.
    pub fn set_terms(&self, terms: Terms) {
        self.terms.set(terms);
        self.freshness.borrow_mut().set_apply_time(terms.apply);
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_terms(terms.retry);
        }
    }

    /// Adds a request to the retry budget of its service.
    pub fn count_request(&self, service: &ServiceId) {
        self.with_retry_budget(service, |budget| budget.add_request(now()));
    }

    /// Takes one retry from the budget of a service; returns whether the budget allows it.
    pub fn take_retry(&self, service: &ServiceId) -> bool {
        self.with_retry_budget(service, |budget| budget.try_take(now()))
    }

    /// Sets the number of instances that share the retry budget.
    pub fn set_instances(&self, instances: u32) {
        self.instances.set(Some(instances));
        self.meters.set_instances(instances);
        self.balancer.borrow_mut().set_instances(instances);
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_instances(instances, now());
        }
    }

    /// Returns the last known number of instances.
    pub fn instances(&self) -> Option<u32> {
        self.instances.get()
    }

    /// Adds a request to the demand that is reported to the leader.
    pub fn count_demand(&self, service: &ServiceId, head: &RequestHead) {
        let Some(weights) = &head.weights else { return };
        let mut demand = self.demand.borrow_mut();
        let key = (service.clone(), weights.clone());
        let sample = demand.entry(key).or_insert_with(|| DemandSample {
            service: service.clone(),
            weights: weights.clone(),
            requests: 0,
            work: 0,
        });
        sample.requests += 1;
        sample.work += head.work();
    }

    /// Returns the demand, the endpoint loads and the usage of tenants since the last call as a report to the leader, with
    /// streams that it does not know. Forgets the streams whose callers have given up.
    pub fn take_report(&self, streams: Vec<StreamOrigin>) -> FollowerMessage {
        self.streams.borrow_mut().remove_expired(now());
        let demand = std::mem::take(&mut *self.demand.borrow_mut()).into_values().collect();
        let SharedLoads { loads, paces } = self.balancer.borrow_mut().take_loads();
        let usage = self.take_usage();
        FollowerMessage::Report { demand, loads, streams, paces, usage, confirm: false, wanted: Vec::new() }
    }

    /// Applies loads that endpoints reported to other instances.
    pub fn receive_loads(&self, loads: &SharedLoads) {
        let endpoints = self.endpoints.borrow();
        let mut balancer = self.balancer.borrow_mut();
        for (id, incarnation, load) in resolve_loads(loads, &endpoints) {
            balancer.record_relayed(id, incarnation, load, now());
        }
    }

    /// Waits until the list of endpoints has been read.
    pub async fn wait_list_known(&self) {
        loop {
            let changed = self.endpoints_changed.notified();
            if self.list_known.get().is_some() {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether the list of endpoints holds all that other instances can have read before `time`.
    pub fn is_list_read_since(&self, time: Time) -> bool {
        self.list_read.get().is_some_and(|at| at >= time)
    }

    /// Passes an update of the leader to the reader of the list.
    pub fn receive_list_update(&self, update: ListUpdate) {
        // The reader ends only with the process.
        let _closed = self.list_updates.send(update);
    }

    /// Receives the leader's version of the configuration, which was known to be the newest `age` ago.
    pub fn set_leader_version(&self, version: Version, age: Duration) {
        if Some(version) <= self.config_version() {
            self.freshness.borrow_mut().record_confirmed(now() - age);
        }
        self.leader_version.set(Some(version));
        self.leader_version_changed.notify_waiters();
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> Option<Version> {
        self.route_table.borrow().as_ref().map(|table| table.version)
    }

    /// Applies a configuration if it is newer than the one in force; returns whether it was. `received` says for
    /// the log how it came.
    pub fn apply_config(&self, table: Arc<RouteTable>, received: &str) -> bool {
        let version = table.version;
        let known = self.config_version();
        if let Some(known) = known.filter(|known| *known >= version) {
            if known > version {
                tracing::warn!(
                    "config: the store has version {version}, older than {known}, which stays in force"
                );
            }
            return false;
        }
        let routes = table.routes().count();
        tracing::info!("config: version {version} in force with {routes} routes, {received}");
        self.meters.set_config_version(version.0);
        *self.route_table.borrow_mut() = Some(table);
        true
    }

    /// Returns whether the leader has a newer configuration.
    pub fn is_outdated(&self) -> bool {
        self.leader_version.get() > self.config_version()
    }

    /// Returns whether the leader has a newer configuration, and forgets its version until the leader sends
    /// it again.
    pub fn take_outdated(&self) -> bool {
        let is_outdated = self.is_outdated();
        self.leader_version.set(None);
        is_outdated
    }

    /// Requests a model or adapter from the leader for this instance's zone.
    pub fn request_weights(&self, service: &ServiceId, weights: Weights) {
        let zone = self.settings.zone.clone();
        self.send_to_leader(FollowerMessage::RequestWeights { service: service.clone(), weights, zone });
    }

    /// Returns whether a model or adapter that is resident somewhere may be requested, and records the request.
    /// Limits the rate.
    pub fn should_request_weights(&self, weights: &Weights) -> bool {
        let mut weights_requests = self.weights_requests.borrow_mut();
        let is_due = weights_requests.get(weights).is_none_or(|at| now() >= *at + WEIGHTS_REQUEST_INTERVAL);
        if is_due {
            weights_requests.insert(weights.clone(), now());
        }
        is_due
    }

    /// Applies what an endpoint announces about itself in a response to a request that was sent at `sent`.
    ///
    /// That it is leaving is sent to the leader, which broadcasts it. A pause is not shared, since it applies
    /// to the instance whose request was rejected.
    pub fn apply_notice(&self, choice: &Choice, notice: EndpointNotice, sent: Time) {
        if let Some(pause) = notice.pause {
            tracing::info!("gateway: {} requests a pause of {pause:?}", choice.id);
            self.balancer.borrow_mut().record_rejected(choice, pause, now());
        }
        self.hear_limit(choice, notice.limit, sent);
        if notice.leaving && self.mark_leaving(&choice.id, choice.incarnation) {
            self.send_to_leader(FollowerMessage::EndpointLeaving {
                endpoint: choice.id.clone(),
                incarnation: choice.incarnation,
            });
        }
    }

    /// Counts a send to an endpoint if the endpoint announces a rate limit.
    pub fn count_send(&self, choice: &Choice, kind: SendKind) {
        if self.balancer.borrow().limit(choice).is_some() {
            self.meters.record_limited_send(kind);
        }
    }

    /// Marks an endpoint as leaving, so that it gets no new requests; returns whether it was not marked
    /// before.
    pub fn mark_leaving(&self, id: &EndpointId, incarnation: Incarnation) -> bool {
        let is_new = self.endpoints.borrow_mut().mark_leaving(id, incarnation);
        if is_new {
            tracing::info!("gateway: {id} is leaving");
            self.pool.close_incarnation(id, incarnation);
            self.update_endpoint_metrics();
            self.endpoints_changed.notify_waiters();
        }
        is_new
    }

    /// Updates the numbers of endpoints in the metrics.
    pub fn update_endpoint_metrics(&self) {
        let endpoints = self.endpoints.borrow();
        self.meters.set_endpoints(endpoints.iter().count(), endpoints.leaving().count());
    }

    /// Returns whether an endpoint that was chosen before still accepts requests.
    pub fn accepts_requests(&self, choice: &Choice) -> bool {
        self.endpoints.borrow().is_live(&choice.id, choice.incarnation)
            && !self.balancer.borrow().is_paused(&choice.id, choice.incarnation, now())
    }

    fn with_retry_budget<T>(&self, service: &ServiceId, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets.entry(service.clone()).or_insert_with(|| {
            let mut budget = RetryBudget::new(self.terms.get().retry);
            if let Some(instances) = self.instances.get() {
                budget.set_instances(instances, now());
            }
            budget
        });
        f(budget)
    }
}
