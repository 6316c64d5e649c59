use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointId;
use crate::Time;
use crate::ZoneId;

/// Time after a failed connection for which an endpoint or a zone is avoided; one request retries it after
/// that.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unreachable endpoints from which on their whole zone is avoided; a single one may have crashed.
const ZONE_THRESHOLD: usize = 2;

/// Tracks endpoints and zones that an instance can't reach, by connections that timed out.
///
/// A network partition between zones drops packets silently. Each request to the other side then costs a
/// whole connection timeout, and without a state per zone an instance would have to detect each unreachable
/// endpoint of the zone separately.
#[derive(Debug, Default)]
pub(super) struct Reachability {
    zones: IndexMap<ZoneId, ZoneReachability>,
}

#[derive(Debug, Default)]
struct ZoneReachability {
    /// Endpoints whose last connection timed out, with the time of the last try.
    timed_out: IndexMap<EndpointId, Time>,
    /// Endpoints whose connections timed out since the last response from the zone.
    recent_timeouts: IndexSet<EndpointId>,
    /// Time of the last try of an endpoint of the zone.
    last_try: Time,
}

impl Reachability {
    /// Records that a connection to an endpoint timed out.
    pub fn record_timeout(&mut self, zone: &ZoneId, id: &EndpointId, now: Time) {
        let zone_state = self.zones.entry(zone.clone()).or_default();
        zone_state.timed_out.insert(id.clone(), now);
        zone_state.recent_timeouts.insert(id.clone());
        zone_state.last_try = now;
    }

    /// Records a response of an endpoint, which shows that its zone is reachable.
    pub fn record_response(&mut self, zone: &ZoneId, id: &EndpointId) {
        let Some(zone_state) = self.zones.get_mut(zone) else { return };
        zone_state.timed_out.swap_remove(id);
        zone_state.recent_timeouts.clear();
    }

    /// Records that a request is sent. If it retries an unreachable endpoint or zone, further requests avoid
    /// that one until there is a response or the retry interval has passed.
    pub fn record_sent(&mut self, zone: &ZoneId, id: &EndpointId, now: Time) {
        let Some(zone_state) = self.zones.get_mut(zone) else { return };
        zone_state.last_try = now;
        if let Some(last_try) = zone_state.timed_out.get_mut(id) {
            *last_try = now;
        }
    }

    /// Returns whether the endpoint or its zone is currently avoided.
    pub fn is_unreachable(&self, zone: &ZoneId, id: &EndpointId, now: Time) -> bool {
        let Some(zone_state) = self.zones.get(zone) else { return false };
        let is_zone_unreachable =
            zone_state.recent_timeouts.len() >= ZONE_THRESHOLD && now < zone_state.last_try + RETRY_INTERVAL;
        is_zone_unreachable
            || zone_state.timed_out.get(id).is_some_and(|last_try| now < *last_try + RETRY_INTERVAL)
    }

    /// Removes endpoints that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        for zone_state in self.zones.values_mut() {
            zone_state.timed_out.retain(|id, _| exists(id));
            zone_state.recent_timeouts.retain(|id| exists(id));
        }
    }
}
