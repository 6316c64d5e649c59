use std::time::Duration;

use indexmap::IndexMap;

use crate::EndpointId;
use crate::Incarnation;
use crate::ModelId;
use crate::Time;
use crate::gateway::EngineRecord;

/// Time after which memory that was to be freed for a model is given up. An unload waits for the requests that use the
/// model, which may be long streams.
const RESERVATION_TIME: Duration = Duration::from_secs(15);

/// Engines on which a model is being unloaded to make room for another one.
///
/// Without a reservation, memory that was freed for the model that lacks most copies would go to whichever model finds
/// the engine first, and the next unload would be ordered only after that.
#[derive(Debug, Default)]
pub(super) struct Reservations {
    engines: IndexMap<EndpointId, Reservation>,
}

/// Room on one engine for a copy of a model.
#[derive(Debug)]
struct Reservation {
    incarnation: Incarnation,
    model: ModelId,
    until: Time,
}

impl Reservations {
    /// Reserves the memory that an engine is ordered to free.
    pub fn insert(&mut self, id: &EndpointId, incarnation: Incarnation, model: &ModelId, now: Time) {
        let reservation = Reservation { incarnation, model: model.clone(), until: now + RESERVATION_TIME };
        self.engines.insert(id.clone(), reservation);
    }

    /// Returns the reserved engines with the models that they are reserved for.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &ModelId)> {
        self.engines.iter().map(|(id, reservation)| (id, &reservation.model))
    }

    /// Ends the reservation of an engine.
    pub fn remove(&mut self, id: &EndpointId) {
        self.engines.swap_remove(id);
    }

    /// Ends reservations that have expired, and those of engines that have ended; `record` returns the record of a live
    /// engine.
    pub fn retain_valid<'a>(&mut self, record: impl Fn(&EndpointId) -> Option<&'a EngineRecord>, now: Time) {
        self.engines.retain(|id, reservation| {
            now < reservation.until
                && record(id).is_some_and(|record| record.incarnation == reservation.incarnation)
        });
    }
}
