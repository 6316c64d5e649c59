use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointId;
use crate::Time;
use crate::ZoneId;

/// Time for which an endpoint or a zone that took no connection is passed over; one request tries it again after that.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Silent endpoints from which on their whole zone is passed over; a single one may have crashed.
const ZONE_THRESHOLD: usize = 2;

/// Which endpoints and zones an instance can't reach, as connections that were not made in time suggest.
///
/// A cut between zones drops packets without a word, so that each request to the other side costs the whole time for a
/// connection, and each instance would have to find out each endpoint of the zone.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    zones: IndexMap<ZoneId, ZoneReachability>,
}

#[derive(Debug, Default)]
struct ZoneReachability {
    /// Endpoints that did not take a connection, and when they were tried last.
    failed: IndexMap<EndpointId, Time>,
    /// Those among them since the last answer from the zone.
    consecutive: IndexSet<EndpointId>,
    /// When the zone was tried last.
    last_try: Time,
}

impl Reachability {
    /// Notes that an endpoint did not take a connection in time.
    pub fn connect_failed(&mut self, zone: &ZoneId, id: &EndpointId, now: Time) {
        let zone_state = self.zones.entry(zone.clone()).or_default();
        zone_state.failed.insert(id.clone(), now);
        zone_state.consecutive.insert(id.clone());
        zone_state.last_try = now;
    }

    /// Notes an answer of an endpoint, by which its zone is not cut off.
    pub fn responded(&mut self, zone: &ZoneId, id: &EndpointId) {
        let Some(zone_state) = self.zones.get_mut(zone) else { return };
        zone_state.failed.swap_remove(id);
        zone_state.consecutive.clear();
    }

    /// Notes a request; if it is a try, the next ones go elsewhere until it is answered or the hold has passed.
    pub fn sent(&mut self, zone: &ZoneId, id: &EndpointId, now: Time) {
        let Some(zone_state) = self.zones.get_mut(zone) else { return };
        zone_state.last_try = now;
        if let Some(last_try) = zone_state.failed.get_mut(id) {
            *last_try = now;
        }
    }

    /// Returns whether other endpoints go before this one.
    pub fn is_unreachable(&self, zone: &ZoneId, id: &EndpointId, now: Time) -> bool {
        let Some(zone_state) = self.zones.get(zone) else { return false };
        let is_zone_unreachable =
            zone_state.consecutive.len() >= ZONE_THRESHOLD && now < zone_state.last_try + RETRY_INTERVAL;
        is_zone_unreachable
            || zone_state.failed.get(id).is_some_and(|last_try| now < *last_try + RETRY_INTERVAL)
    }

    /// Forgets endpoints that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        for zone_state in self.zones.values_mut() {
            zone_state.failed.retain(|id, _| exists(id));
            zone_state.consecutive.retain(|id| exists(id));
        }
    }
}
