use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::Account;
use crate::Action;
use crate::Availability;
use crate::Command;
use crate::ConfigRecord;
use crate::Controller;
use crate::DrainTarget;
use crate::EndpointId;
use crate::EndpointPlan;
use crate::EngineStatus;
use crate::Fence;
use crate::LoadLimiter;
use crate::Manifest;
use crate::ModelId;
use crate::Order;
use crate::OrderId;
use crate::PlacementInput;
use crate::ServiceKind;
use crate::Tick;
use crate::Time;
use crate::Version;
use crate::WriteId;
use crate::ZoneId;
use crate::ZonePlan;
use crate::place;
use crate::term::Term;

/// Minimum time between two placement decisions; it bounds their cost in a zone of a hundred engines.
const DECISION_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a response after which an engine counts as down and its copies are replaced.
pub(crate) const DOWN_AFTER: Duration = Duration::from_secs(10);

/// Time without a response after which the state of an engine is stale: it gets no orders, and its copies no
/// longer justify unloading copies elsewhere.
pub(crate) const STALE_AFTER: Duration = Duration::from_secs(3);

/// Time after a leader change before the estimate of demand is complete.
const DEMAND_WARM_UP: Duration = Duration::from_mins(5);

/// Minimum time between writes of the plan that only update what is resident.
const RESIDENCY_WRITE_INTERVAL: Duration = Duration::from_secs(1);

impl Term {
    pub(crate) fn engines_to_poll(&self, controller: &Controller) -> Vec<(EndpointId, String)> {
        let Some(config) = &controller.config else {
            return Vec::new();
        };
        let engines = self.endpoints.iter().filter(|(_, listed)| is_engine(&config.manifest, listed));
        engines.map(|(id, listed)| (id.clone(), listed.addr.clone())).collect()
    }

    /// Updates the ledger from the instance list and the manifest.
    ///
    /// An endpoint that is no longer listed is removed once it is down and no order can reach it.
    pub(crate) fn update_accounts(&mut self, controller: &Controller, manifest: &Manifest, tick: &Tick) {
        for (id, listed) in &controller.listing.endpoints {
            self.endpoints.insert(id.clone(), listed.clone());
        }
        let is_delisted = |id: &EndpointId| !controller.listing.endpoints.contains_key(id);
        let is_down = |id: &EndpointId| {
            self.ledger.get(id).is_none_or(|account| {
                self.availability(controller, id, tick.now) == Availability::Down
                    && account.has_only_undeliverable_orders(tick.wall_ms)
            })
        };
        let removed: Vec<EndpointId> =
            self.endpoints.keys().filter(|id| is_delisted(id) && is_down(id)).cloned().collect();
        for id in removed {
            self.endpoints.shift_remove(&id);
            self.health.shift_remove(&id);
            self.ledger.remove(&id);
        }
        for (id, listed) in &self.endpoints {
            if is_engine(manifest, listed) {
                let spec = &manifest.services[&listed.service];
                self.ledger
                    .get_or_insert(id, spec.memory, spec.checks_fence)
                    .set_limits(spec.memory, spec.checks_fence);
            }
        }
    }

    /// Decides on new orders and proposes a plan if it differs from the last written one.
    pub(crate) fn plan(
        &mut self,
        controller: &Controller,
        config: &ConfigRecord,
        tick: &Tick,
        commands: &mut Vec<Command>,
    ) {
        let written = self.store.written().map(|plan| (plan.manifest_version, plan.fence));
        let is_own_plan = written.is_some_and(|(_, fence)| fence == self.first_fence);
        let plan_is_newer = written.is_some_and(|(version, _)| version > config.version);
        if self.decided_at.is_some_and(|at| tick.now - at < DECISION_INTERVAL) {
            return;
        }
        self.decided_at = Some(tick.now);
        if is_own_plan && !plan_is_newer {
            // Other zones rely on what the plan holds under its manifest version, so a leader with an older
            // manifest must not change it.
            self.decide(controller, &config.manifest, config.version, tick, commands);
        }
        let version = written.map_or(config.version, |(version, _)| version.max(config.version));
        let plan = self.build_plan(controller, config, version, tick);
        if self.needs_write(&plan, tick.now) {
            self.residency_written = tick.now;
            self.store.propose(plan);
        }
    }

    pub(crate) fn new_order(&mut self, tick: &Tick, action: Action) -> Order {
        let fence = self.next_fence();
        let expires_ms = tick.wall_ms + order_ttl_ms(true);
        Order { id: OrderId(derive_id(tick.seed, fence.0)), fence, expires_ms, action }
    }

    pub(crate) fn availability(&self, controller: &Controller, id: &EndpointId, now: Time) -> Availability {
        let last_response = self.health.get(id).and_then(|health| health.last_response);
        let leaving = self.endpoints.get(id).is_some_and(|listed| listed.leaving);
        if leaving || controller.drains.is_drained(&DrainTarget::Endpoint(id.clone())) {
            return Availability::Drained;
        }
        match last_response {
            Some(at) if now - at < DOWN_AFTER => Availability::Ready,
            None if now - self.observing_since < DOWN_AFTER => Availability::Unconfirmed,
            _ => Availability::Down,
        }
    }

    pub(crate) fn is_fresh(&self, id: &EndpointId, now: Time) -> bool {
        let last_response = self.health.get(id).and_then(|health| health.last_response);
        last_response.is_some_and(|at| now - at < STALE_AFTER)
    }

    fn decide(
        &mut self,
        controller: &Controller,
        manifest: &Manifest,
        version: Version,
        tick: &Tick,
        commands: &mut Vec<Command>,
    ) {
        if tick.now - self.observing_since >= DEMAND_WARM_UP {
            self.initial_copies.clear();
        }
        let engines = self.engine_statuses(controller, manifest, tick.now);
        let remote_models = self.remote_models(version, tick.now);
        let (models, adapters) = self.loads_in_flight(manifest);
        let limiter = self.limiter.get_or_insert_with(|| LoadLimiter::new(manifest, tick.now));
        let model_loads =
            u32::from(limiter.allows(manifest, &controller.zone, tick.now, tick.wall_ms, models));
        let input = PlacementInput {
            zone: &controller.zone,
            manifest,
            ledger: &self.ledger,
            engines: &engines,
            demand: &controller.demand,
            remote_models: &remote_models,
            initial_copies: &self.initial_copies,
            model_loads,
            adapter_loads: crate::max_adapter_loads(manifest).saturating_sub(adapters),
            now: tick.now,
        };
        let placement = place(&input);
        for planned in &placement.moves {
            commands.push(Command::RecordDecision(format!(
                "{}: {}: {}",
                planned.endpoint,
                describe(&planned.action),
                planned.reason
            )));
            self.add_order(manifest, tick, &planned.endpoint, planned.action.clone());
        }
        for zone in &placement.needed_plans {
            let due = self.peer_reads.get(zone).is_none_or(|at| tick.now - *at >= Duration::from_secs(1));
            if due {
                self.peer_reads.insert(zone.clone(), tick.now);
                commands.push(Command::ReadPeerPlan(zone.clone()));
            }
        }
        self.placement = placement;
    }

    fn add_order(&mut self, manifest: &Manifest, tick: &Tick, endpoint: &EndpointId, action: Action) {
        if let (Action::Load { base: None, .. }, Some(limiter)) = (&action, &mut self.limiter) {
            limiter.record_load(manifest, tick.now);
        }
        let mut order = self.new_order(tick, action);
        if let Some(account) = self.ledger.get_mut(endpoint) {
            if !account.checks_fence() {
                order.expires_ms = tick.wall_ms + order_ttl_ms(false);
            }
            account.add_order(order);
        }
    }

    fn engine_statuses(
        &self,
        controller: &Controller,
        manifest: &Manifest,
        now: Time,
    ) -> IndexMap<EndpointId, EngineStatus> {
        let engines = self.endpoints.iter().filter(|(_, listed)| is_engine(manifest, listed));
        let status = |(id, listed): (&EndpointId, &crate::ListedEndpoint)| {
            let availability = self.availability(controller, id, now);
            let fresh = self.is_fresh(id, now);
            let paused = self.health.get(id).is_some_and(|health| now < health.paused_until);
            let accepts_orders = availability == Availability::Ready && fresh && !paused;
            let service = listed.service.clone();
            (id.clone(), EngineStatus { service, availability, fresh, accepts_orders })
        };
        engines.map(status).collect()
    }

    /// Returns the models held by other zones whose plan was read within [`STALE_AFTER`] and has the same
    /// manifest version.
    ///
    /// Under the same manifest both zones agree on the home zone, which never unloads its last copy. It can
    /// do so only after it applies a newer manifest, and then it needs to read the plan of the new home zone
    /// first.
    fn remote_models(&self, version: Version, now: Time) -> IndexMap<ZoneId, IndexSet<ModelId>> {
        let valid =
            |peer: &crate::term::PeerPlan| peer.version == version && now - peer.requested < STALE_AFTER;
        let peers = self.peers.iter().filter(|(_, peer)| valid(peer));
        peers.map(|(zone, peer)| (zone.clone(), peer.held.clone())).collect()
    }

    fn loads_in_flight(&self, manifest: &Manifest) -> (u32, u32) {
        let loading = self.ledger.accounts().flat_map(|(_, account)| account.loads_in_flight());
        let (adapters, models): (Vec<&ModelId>, Vec<&ModelId>) =
            loading.partition(|model| manifest.adapters.contains_key(*model));
        (models.len() as u32, adapters.len() as u32)
    }

    fn build_plan(
        &self,
        controller: &Controller,
        config: &ConfigRecord,
        manifest_version: Version,
        tick: &Tick,
    ) -> ZonePlan {
        let version = self.store.written().map_or(Version(0), |plan| plan.version).next();
        let endpoints = self.ledger.accounts().filter_map(|(id, account)| {
            let listed = self.endpoints.get(id)?;
            Some(EndpointPlan {
                id: id.clone(),
                service: listed.service.clone(),
                addr: listed.addr.clone(),
                incarnation: account.incarnation().unwrap_or_default(),
                resident: account.in_memory().cloned().collect(),
                orders: account.orders().to_vec(),
            })
        });
        ZonePlan {
            fence: self.first_fence,
            version,
            write_id: WriteId(derive_id(tick.seed, version.0)),
            manifest_version,
            held: self.served_models(controller, &config.manifest, tick.now),
            endpoints: endpoints.collect(),
        }
    }

    /// Returns the models of which a copy serves requests and has no unload order.
    fn served_models(&self, controller: &Controller, manifest: &Manifest, now: Time) -> Vec<ModelId> {
        let mut held = IndexSet::new();
        for (id, account) in self.ledger.accounts() {
            let ready = self.availability(controller, id, now) == Availability::Ready;
            if !ready || !self.is_fresh(id, now) {
                continue;
            }
            let staying = account.resident().iter().filter(|r| !account.is_unloading(&r.model, &r.version));
            held.extend(staying.map(|r| r.model.clone()).filter(|model| manifest.models.contains_key(model)));
        }
        held.sort();
        held.into_iter().collect()
    }

    fn needs_write(&self, plan: &ZonePlan, now: Time) -> bool {
        let Some(written) = self.store.written() else {
            return true;
        };
        let key_fields = |plan: &ZonePlan| -> (Fence, Version, Vec<ModelId>) {
            (plan.fence, plan.manifest_version, plan.held.clone())
        };
        if key_fields(written) != key_fields(plan) || order_ids(written) < order_ids(plan) {
            return true;
        }
        let has_new_orders = order_ids(plan).difference(&order_ids(written)).next().is_some();
        let residency = |plan: &ZonePlan| -> Vec<_> {
            plan.endpoints.iter().map(|e| (e.id.clone(), e.incarnation, e.resident.clone())).collect()
        };
        has_new_orders
            || (now - self.residency_written >= RESIDENCY_WRITE_INTERVAL
                && residency(written) != residency(plan))
    }
}

impl Account {
    /// Returns whether no order can reach the engine any more.
    fn has_only_undeliverable_orders(&self, wall_ms: u64) -> bool {
        self.orders().iter().all(|planned| crate::order_status::is_undeliverable(&planned.order, wall_ms))
    }
}

/// Returns the time to live of an order in milliseconds.
///
/// It is shorter for engines that ignore fencing numbers, where the next order waits until this one has
/// expired.
pub(crate) fn order_ttl_ms(checks_fence: bool) -> u64 {
    if checks_fence { 5_000 } else { 3_000 }
}

fn order_ids(plan: &ZonePlan) -> std::collections::BTreeSet<OrderId> {
    let orders = plan.endpoints.iter().flat_map(|endpoint| &endpoint.orders);
    orders.map(|planned| planned.order.id).collect()
}

fn is_engine(manifest: &Manifest, listed: &crate::ListedEndpoint) -> bool {
    manifest.services.get(&listed.service).is_some_and(|spec| spec.kind == ServiceKind::Engine)
}

fn describe(action: &Action) -> String {
    match action {
        Action::Load { model, version, .. } => format!("load {model} version {version}"),
        Action::Unload { model, version } => format!("unload {model} version {version}"),
        Action::Role { role } => format!("role {role:?}"),
        Action::Noop => "raise the fencing number".to_owned(),
    }
}

fn derive_id(seed: u64, count: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&count.to_le_bytes());
    xxh3_64(&bytes)
}
