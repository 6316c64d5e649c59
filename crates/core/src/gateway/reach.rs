use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::EndpointId;
use crate::Time;
use crate::ZoneId;

/// Time for which an endpoint or a zone that took no connection is passed over; one request tries it again after that.
const HOLD: Duration = Duration::from_secs(1);
/// Silent endpoints from which on their whole zone is passed over; a single one may have crashed.
const SILENT: usize = 2;

/// Which endpoints and zones an instance can't reach, as connections that were not made in time suggest.
///
/// A cut between zones drops packets without a word, so that each request to the other side costs the whole time for a
/// connection, and each instance would have to find out each endpoint of the zone.
#[derive(Debug, Default)]
pub(super) struct Reach {
    zones: IndexMap<ZoneId, ZoneReach>,
}

#[derive(Debug, Default)]
struct ZoneReach {
    /// Endpoints that did not take a connection, and when they were tried last.
    silent: IndexMap<EndpointId, Time>,
    /// Those among them since the last answer from the zone.
    unheard: IndexSet<EndpointId>,
    /// When the zone was tried last.
    tried: Time,
}

impl Reach {
    /// Notes that an endpoint did not take a connection in time.
    pub fn silent(&mut self, zone: &ZoneId, id: &EndpointId, now: Time) {
        let reach = self.zones.entry(zone.clone()).or_default();
        reach.silent.insert(id.clone(), now);
        reach.unheard.insert(id.clone());
        reach.tried = now;
    }

    /// Notes an answer of an endpoint, by which its zone is not cut off.
    pub fn answered(&mut self, zone: &ZoneId, id: &EndpointId) {
        let Some(reach) = self.zones.get_mut(zone) else { return };
        reach.silent.swap_remove(id);
        reach.unheard.clear();
    }

    /// Notes a request; if it is a try, the next ones go elsewhere until it is answered or the hold has passed.
    pub fn sent(&mut self, zone: &ZoneId, id: &EndpointId, now: Time) {
        let Some(reach) = self.zones.get_mut(zone) else { return };
        reach.tried = now;
        if let Some(tried) = reach.silent.get_mut(id) {
            *tried = now;
        }
    }

    /// Returns whether other endpoints go before this one.
    pub fn is_doubted(&self, zone: &ZoneId, id: &EndpointId, now: Time) -> bool {
        let Some(reach) = self.zones.get(zone) else { return false };
        let is_zone = reach.unheard.len() >= SILENT && now < reach.tried + HOLD;
        is_zone || reach.silent.get(id).is_some_and(|tried| now < *tried + HOLD)
    }

    /// Forgets endpoints that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&EndpointId) -> bool) {
        for reach in self.zones.values_mut() {
            reach.silent.retain(|id, _| exists(id));
            reach.unheard.retain(|id| exists(id));
        }
    }
}
