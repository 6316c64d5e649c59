use std::time::Duration;

use indexmap::IndexMap;

use crate::Action;
use crate::Bytes;
use crate::EndpointId;
use crate::EndpointPlan;
use crate::EngineState;
use crate::Incarnation;
use crate::ModelId;
use crate::ModelVersion;
use crate::Order;
use crate::PlannedOrder;
use crate::Resident;
use crate::Time;
use crate::settle;

/// Memory charged to the engines of a zone, and the orders that may still change it.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    accounts: IndexMap<EndpointId, Account>,
}

/// One engine of a [`Ledger`].
///
/// # Examples
///
/// ```
/// use carobwick_core::Account;
/// use carobwick_core::Bytes;
///
/// let account = Account::new(Bytes(100), true);
/// assert_eq!(account.charged(), Bytes(0));
/// assert!(account.fits(Bytes(100)));
/// assert!(!account.fits(Bytes(101)));
/// ```
#[derive(Debug, Clone)]
pub struct Account {
    memory: Bytes,
    reported_memory: Option<Bytes>,
    checks_fence: bool,
    incarnation: Option<Incarnation>,
    resident: Vec<Resident>,
    loading: Vec<Resident>,
    orders: Vec<PlannedOrder>,
    requested_at: Option<Time>,
}

impl Ledger {
    /// Returns the account of an engine.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Account> {
        self.accounts.get(endpoint)
    }

    /// Returns the account of an engine for changes.
    pub fn get_mut(&mut self, endpoint: &EndpointId) -> Option<&mut Account> {
        self.accounts.get_mut(endpoint)
    }

    /// Adds an engine unless it has an account.
    pub fn get_or_insert(
        &mut self,
        endpoint: &EndpointId,
        memory: Bytes,
        checks_fence: bool,
    ) -> &mut Account {
        self.accounts.entry(endpoint.clone()).or_insert_with(|| Account::new(memory, checks_fence))
    }

    /// Removes an engine.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.accounts.shift_remove(endpoint);
    }

    /// Returns the engines.
    pub fn accounts(&self) -> impl Iterator<Item = (&EndpointId, &Account)> {
        self.accounts.iter()
    }

    /// Returns the engines for changes.
    pub fn accounts_mut(&mut self) -> impl Iterator<Item = (&EndpointId, &mut Account)> {
        self.accounts.iter_mut()
    }
}

impl Account {
    /// Opens the account of an empty engine; `checks_fence` says whether it refuses old fencing numbers.
    pub fn new(memory: Bytes, checks_fence: bool) -> Self {
        Self {
            memory,
            reported_memory: None,
            checks_fence,
            incarnation: None,
            resident: Vec::new(),
            loading: Vec::new(),
            orders: Vec::new(),
            requested_at: None,
        }
    }

    /// Sets what the manifest says about the engine.
    pub fn set_limits(&mut self, memory: Bytes, checks_fence: bool) {
        self.memory = self.reported_memory.map_or(memory, |reported| reported.min(memory));
        self.checks_fence = checks_fence;
    }

    /// Takes over what the plan of the previous leader says.
    pub fn restore(&mut self, plan: &EndpointPlan) {
        self.incarnation = Some(plan.incarnation);
        self.resident.clone_from(&plan.resident);
        self.orders.clone_from(&plan.orders);
    }

    /// Takes a state that the engine was asked for at `requested`, when the wall clock showed `wall_ms`.
    ///
    /// Returns whether the engine has restarted since the last state.
    pub fn observe(&mut self, state: &EngineState, requested: Time, wall_ms: u64) -> bool {
        if self.requested_at.is_some_and(|last| last >= requested) {
            return false;
        }
        let restarted = self.incarnation.is_some_and(|last| last != state.incarnation);
        if restarted {
            // The new run has forgotten the fencing number, so settled orders that are still under way count again.
            for planned in &mut self.orders {
                planned.settled = false;
            }
        }
        self.requested_at = Some(requested);
        self.incarnation = Some(state.incarnation);
        self.reported_memory = Some(state.memory);
        self.memory = self.memory.min(state.memory);
        self.resident.clone_from(&state.resident);
        self.loading.clone_from(&state.loading);
        self.orders.retain(|planned| {
            !settle::is_undeliverable(&planned.order, wall_ms) || settle::is_unloading(&planned.order, state)
        });
        for planned in &mut self.orders {
            planned.settled |= self.checks_fence && settle::is_resolved(&planned.order, state);
        }
        restarted
    }

    /// Returns the bytes charged: what the engine holds, and loads that may still take effect.
    ///
    /// Unloads free nothing until a state confirms them.
    pub fn charged(&self) -> Bytes {
        let held: Bytes = self.in_memory().map(|resident| resident.size).sum();
        let open = self.orders.iter().filter(|planned| !planned.settled);
        held + self.sum_of_loads(open.map(|planned| &planned.order))
    }

    /// Returns whether a load of this size may be ordered.
    pub fn fits(&self, size: Bytes) -> bool {
        self.free() >= size
    }

    /// Returns the bytes that a new load may take.
    ///
    /// If the engine restarts, all orders under way may still reach the new run, in any order, so their loads must
    /// fit together too, settled or not.
    pub fn free(&self) -> Bytes {
        let in_flight = self.sum_of_all_loads();
        let charged = self.charged().max(in_flight);
        Bytes(self.memory.0.saturating_sub(charged.0))
    }

    /// Lists an order, after which its load is charged.
    pub fn add_order(&mut self, order: Order) {
        if let Action::Load { size, .. } = &order.action {
            // I1: this is the one place where a load is granted.
            assert!(self.fits(*size), "load of {size} bytes does not fit: {} charged", self.charged());
        }
        assert!(self.is_settled(), "an order is listed while another one is open");
        self.orders.push(PlannedOrder { order, settled: false });
    }

    /// Returns whether no order is open, so that the next one can be listed.
    pub fn is_settled(&self) -> bool {
        self.orders.iter().all(|planned| planned.settled)
    }

    /// Returns the orders that may still take effect.
    pub fn open_orders(&self) -> impl Iterator<Item = &Order> {
        self.orders.iter().filter(|planned| !planned.settled).map(|planned| &planned.order)
    }

    /// Returns all orders that may still reach the engine.
    pub fn orders(&self) -> &[PlannedOrder] {
        &self.orders
    }

    /// Withdraws an order that was never sent.
    pub fn remove_unsent(&mut self, order: &Order) {
        self.orders.retain(|planned| planned.order.id != order.id);
    }

    /// Drops orders that can't reach the engine any more; for an engine that is gone.
    pub fn remove_expired(&mut self, wall_ms: u64) {
        self.orders.retain(|planned| !settle::is_undeliverable(&planned.order, wall_ms));
    }

    /// Returns what serves requests on the engine.
    pub fn resident(&self) -> &[Resident] {
        &self.resident
    }

    /// Returns what the engine loads.
    pub fn loading(&self) -> &[Resident] {
        &self.loading
    }

    /// Returns everything in the engine's memory.
    pub fn in_memory(&self) -> impl Iterator<Item = &Resident> {
        self.resident.iter().chain(&self.loading)
    }

    /// Returns whether a version of a model or adapter is in memory or may get there by an open order.
    pub fn has_copy(&self, model: &ModelId, version: &ModelVersion) -> bool {
        self.copies().any(|copy| copy == (model, version))
    }

    /// Returns the models and adapters that are being loaded or may be.
    pub fn loads_in_flight(&self) -> impl Iterator<Item = &ModelId> {
        let orders = self.open_orders().filter_map(load_of);
        let orders = orders.filter(|(model, version, _)| !self.holds(model, version));
        // Engines report a copy that is being unloaded as under way too.
        let loading = self.loading.iter().filter(|r| !self.is_unloading(&r.model, &r.version));
        loading.map(|loading| &loading.model).chain(orders.map(|(model, ..)| model))
    }

    /// Returns the models and adapters in memory or on their way there, with repetitions.
    pub fn models(&self) -> impl Iterator<Item = &ModelId> {
        let loads = self.open_orders().filter_map(load_of).map(|(model, ..)| model);
        self.in_memory().map(|resident| &resident.model).chain(loads)
    }

    /// Returns the models and adapters in memory or on their way there with their versions, with repetitions.
    pub fn copies(&self) -> impl Iterator<Item = (&ModelId, &ModelVersion)> {
        let loads = self.open_orders().filter_map(load_of).map(|(model, version, _)| (model, version));
        self.in_memory().map(|resident| (&resident.model, &resident.version)).chain(loads)
    }

    /// Returns whether an open order unloads a version of a model or adapter.
    pub fn is_unloading(&self, model: &ModelId, version: &ModelVersion) -> bool {
        self.open_orders().any(|order| {
            matches!(&order.action, Action::Unload { model: m, version: v } if m == model && v == version)
        })
    }

    /// Returns the run of the engine's process that was seen last.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns when the last state was asked for.
    pub fn requested_at(&self) -> Option<Time> {
        self.requested_at
    }

    /// Returns the engine's memory.
    pub fn memory(&self) -> Bytes {
        self.memory
    }

    /// Returns whether the engine refuses old fencing numbers.
    pub fn checks_fence(&self) -> bool {
        self.checks_fence
    }

    fn holds(&self, model: &ModelId, version: &ModelVersion) -> bool {
        self.in_memory().any(|resident| resident.model == *model && resident.version == *version)
    }

    fn sum_of_loads<'a>(&self, orders: impl Iterator<Item = &'a Order>) -> Bytes {
        // A second load of the same version takes no more memory.
        orders
            .filter_map(load_of)
            .filter(|(model, version, _)| !self.holds(model, version))
            .map(|load| load.2)
            .sum()
    }

    fn sum_of_all_loads(&self) -> Bytes {
        let loads = self.orders.iter().filter_map(|planned| load_of(&planned.order));
        let distinct: IndexMap<_, _> = loads.map(|(model, version, size)| ((model, version), size)).collect();
        distinct.into_values().sum()
    }
}

/// Time from an order's expiry after which it can't take effect: maximum flight time and drift of clocks.
pub const ORDER_GRACE: Duration = Duration::from_secs(4);

fn load_of(order: &Order) -> Option<(&ModelId, &ModelVersion, Bytes)> {
    match &order.action {
        Action::Load { model, version, size, .. } => Some((model, version, *size)),
        Action::Unload { .. } | Action::Role { .. } | Action::Noop => None,
    }
}
