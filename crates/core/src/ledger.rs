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
use crate::order_status;

/// Accounts of the engines of a zone: the memory charged to each, and the orders that may still change it.
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

    /// Returns a mutable reference to the account of an engine.
    pub fn get_mut(&mut self, endpoint: &EndpointId) -> Option<&mut Account> {
        self.accounts.get_mut(endpoint)
    }

    /// Returns the account of an engine, after adding an empty one if it has none.
    pub fn get_or_insert(
        &mut self,
        endpoint: &EndpointId,
        memory: Bytes,
        checks_fence: bool,
    ) -> &mut Account {
        self.accounts.entry(endpoint.clone()).or_insert_with(|| Account::new(memory, checks_fence))
    }

    /// Removes the account of an engine.
    pub fn remove(&mut self, endpoint: &EndpointId) {
        self.accounts.shift_remove(endpoint);
    }

    /// Returns the engines with their accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&EndpointId, &Account)> {
        self.accounts.iter()
    }

    /// Returns the engines with mutable references to their accounts.
    pub fn accounts_mut(&mut self) -> impl Iterator<Item = (&EndpointId, &mut Account)> {
        self.accounts.iter_mut()
    }
}

impl Account {
    /// Creates the account of an empty engine; `checks_fence` says whether it refuses orders with an old
    /// fencing number.
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

    /// Sets the manifest's values for the engine; a smaller memory that the engine reported stays in force.
    pub fn set_limits(&mut self, memory: Bytes, checks_fence: bool) {
        self.memory = self.reported_memory.map_or(memory, |reported| reported.min(memory));
        self.checks_fence = checks_fence;
    }

    /// Restores what the engine holds and its orders from the plan of the previous leader.
    pub fn restore(&mut self, plan: &EndpointPlan) {
        self.incarnation = Some(plan.incarnation);
        self.resident.clone_from(&plan.resident);
        self.orders.clone_from(&plan.orders);
    }

    /// Updates the account from a state that was requested at `requested`, at the wall-clock time `wall_ms`.
    ///
    /// A state that was requested before the last one is ignored. Returns whether the engine has restarted
    /// since the last state.
    pub fn observe(&mut self, state: &EngineState, requested: Time, wall_ms: u64) -> bool {
        if self.requested_at.is_some_and(|last| last >= requested) {
            return false;
        }
        let restarted = self.incarnation.is_some_and(|last| last != state.incarnation);
        if restarted {
            // The new incarnation does not know the last fencing number, so settled orders still in flight
            // count again.
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
            !order_status::is_undeliverable(&planned.order, wall_ms)
                || order_status::is_unloading(&planned.order, state)
        });
        for planned in &mut self.orders {
            planned.settled |= self.checks_fence && order_status::is_resolved(&planned.order, state);
        }
        restarted
    }

    /// Returns the bytes charged: what is in memory, and open loads.
    ///
    /// An unload frees nothing until a state confirms it.
    pub fn charged(&self) -> Bytes {
        let held: Bytes = self.in_memory().map(|resident| resident.size).sum();
        let open = self.orders.iter().filter(|planned| !planned.settled);
        held + self.sum_of_loads(open.map(|planned| &planned.order))
    }

    /// Returns whether a load of this size fits into the free memory.
    pub fn fits(&self, size: Bytes) -> bool {
        self.free() >= size
    }

    /// Returns the bytes that a new load may take.
    ///
    /// If the engine restarts, all orders in flight may still reach the new incarnation, in any order, so
    /// their loads must also fit together, settled or not.
    pub fn free(&self) -> Bytes {
        let in_flight = self.sum_of_all_loads();
        let charged = self.charged().max(in_flight);
        Bytes(self.memory.0.saturating_sub(charged.0))
    }

    /// Adds an order and charges its load.
    ///
    /// # Panics
    ///
    /// Panics if the load does not fit or another order is open.
    pub fn add_order(&mut self, order: Order) {
        if let Action::Load { size, .. } = &order.action {
            // I1: every load order is added here, so engines are never overcommitted.
            assert!(self.fits(*size), "load of {size} bytes does not fit: {} charged", self.charged());
        }
        assert!(self.is_settled(), "an order is added while another one is open");
        self.orders.push(PlannedOrder { order, settled: false });
    }

    /// Returns whether no order is open, so that the next one can be added.
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

    /// Removes an order that was never sent.
    pub fn remove_unsent(&mut self, order: &Order) {
        self.orders.retain(|planned| planned.order.id != order.id);
    }

    /// Removes orders that can no longer reach the engine; used for an engine that has been removed.
    pub fn remove_expired(&mut self, wall_ms: u64) {
        self.orders.retain(|planned| !order_status::is_undeliverable(&planned.order, wall_ms));
    }

    /// Returns the models and adapters that serve requests on the engine.
    pub fn resident(&self) -> &[Resident] {
        &self.resident
    }

    /// Returns the models and adapters that the engine reports as loading or unloading.
    pub fn loading(&self) -> &[Resident] {
        &self.loading
    }

    /// Returns all models and adapters in the memory of the engine.
    pub fn in_memory(&self) -> impl Iterator<Item = &Resident> {
        self.resident.iter().chain(&self.loading)
    }

    /// Returns whether a version of a model or adapter is in memory or may be loaded by an open order.
    pub fn has_copy(&self, model: &ModelId, version: &ModelVersion) -> bool {
        self.copies().any(|copy| copy == (model, version))
    }

    /// Returns the models and adapters that are loading or may be loaded by an open order.
    pub fn loads_in_flight(&self) -> impl Iterator<Item = &ModelId> {
        let orders = self.open_orders().filter_map(load_of);
        let orders = orders.filter(|(model, version, _)| !self.holds(model, version));
        // Engines report copies that are being unloaded under `loading`, too.
        let loading = self.loading.iter().filter(|r| !self.is_unloading(&r.model, &r.version));
        loading.map(|loading| &loading.model).chain(orders.map(|(model, ..)| model))
    }

    /// Returns the models and adapters in memory or to be loaded by an open order, with repetitions.
    pub fn models(&self) -> impl Iterator<Item = &ModelId> {
        let loads = self.open_orders().filter_map(load_of).map(|(model, ..)| model);
        self.in_memory().map(|resident| &resident.model).chain(loads)
    }

    /// Returns the models and adapters with their versions in memory or to be loaded by an open order, with
    /// repetitions.
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

    /// Returns the last known incarnation of the engine.
    pub fn incarnation(&self) -> Option<Incarnation> {
        self.incarnation
    }

    /// Returns when the last state was requested.
    pub fn requested_at(&self) -> Option<Time> {
        self.requested_at
    }

    /// Returns the memory of the engine: the lower of the values in the manifest and in its state.
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
        // A second load of the same version takes no additional memory.
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

/// Time after the expiry of an order from which it can't take effect: its maximum time in flight plus the
/// maximum difference between clocks.
pub const ORDER_GRACE: Duration = Duration::from_secs(4);

fn load_of(order: &Order) -> Option<(&ModelId, &ModelVersion, Bytes)> {
    match &order.action {
        Action::Load { model, version, size, .. } => Some((model, version, *size)),
        Action::Unload { .. } | Action::Role { .. } | Action::Noop => None,
    }
}
