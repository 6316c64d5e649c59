use indexmap::IndexMap;

use crate::Availability;
use crate::Controller;
use crate::EndpointId;
use crate::EndpointState;
use crate::EndpointView;
use crate::LoadReport;
use crate::ServiceKind;
use crate::Time;
use crate::Version;
use crate::ZoneView;
use crate::term::Term;
use crate::term_decide::STALE_AFTER;

impl Term {
    /// Returns the view of the zone, with a new version if anything but load has changed.
    ///
    /// Returns `None` at the start of a term while engines have not responded yet, so that entries keep the
    /// view of the previous leader.
    pub(crate) fn view(&mut self, controller: &Controller, now: Time) -> Option<ZoneView> {
        let is_unconfirmed =
            |id: &EndpointId| self.availability(controller, id, now) == Availability::Unconfirmed;
        let any_unconfirmed = self.ledger.accounts().any(|(id, _)| is_unconfirmed(id));
        if !self.store.is_loaded()
            || self.endpoints.is_empty()
            || (any_unconfirmed && now - self.observing_since < STALE_AFTER)
        {
            return None;
        }
        let version = self.last_view.as_ref().map_or(Version(0), |view| view.version);
        let mut view = ZoneView {
            zone: controller.zone.clone(),
            fence: self.first_fence,
            version,
            leader: controller.instance.clone(),
            instances: controller.listing.instances.clone(),
            endpoints: self.endpoint_views(controller, now),
            blocked: self.placement.blocked.clone(),
            reasons: self.placement.reasons.clone(),
        };
        let same = self.last_view.as_ref().is_some_and(|last| without_load(last) == without_load(&view));
        if same {
            return self.last_view.clone();
        }
        view.version = version.next();
        self.last_view = Some(view.clone());
        Some(view)
    }

    fn endpoint_views(&self, controller: &Controller, now: Time) -> IndexMap<EndpointId, EndpointView> {
        let views = self.endpoints.iter().map(|(id, listed)| {
            let account = self.ledger.get(id);
            let resident = account.into_iter().flat_map(|account| {
                let staying = |r: &&crate::Resident| !account.is_unloading(&r.model, &r.version);
                account.resident().iter().filter(staying).cloned()
            });
            let view = EndpointView {
                service: listed.service.clone(),
                addr: listed.addr.clone(),
                incarnation: account.and_then(crate::Account::incarnation).unwrap_or_default(),
                state: self.endpoint_state(controller, id, now),
                resident: resident.collect(),
                load: self.health.get(id).map(|health| health.load).unwrap_or_default(),
            };
            (id.clone(), view)
        });
        views.collect()
    }

    fn endpoint_state(&self, controller: &Controller, id: &EndpointId, now: Time) -> EndpointState {
        let plain = controller.config.as_deref().is_some_and(|config| {
            let service = self.endpoints.get(id).and_then(|l| config.manifest.services.get(&l.service));
            service.is_some_and(|spec| spec.kind == ServiceKind::Plain)
        });
        match self.availability(controller, id, now) {
            Availability::Drained => EndpointState::Leaving,
            // Plain services have no state to poll; entries detect their failures.
            _ if plain => EndpointState::Live,
            Availability::Ready if self.is_fresh(id, now) => EndpointState::Live,
            Availability::Ready | Availability::Unconfirmed | Availability::Down => EndpointState::Down,
        }
    }
}

fn without_load(view: &ZoneView) -> ZoneView {
    let mut view = view.clone();
    for endpoint in view.endpoints.values_mut() {
        endpoint.load = LoadReport::default();
    }
    view
}
