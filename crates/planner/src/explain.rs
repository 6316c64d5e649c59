use carobwick_core::Artifact;
use carobwick_core::EndpointState;
use carobwick_core::Explanation;
use carobwick_core::ModelId;
use carobwick_core::SharedState;
use carobwick_core::ZoneExplanation;
use carobwick_core::ZoneView;
use carobwick_core::home_zone;

/// Returns where a model or adapter is resident and why, or `None` if it is neither declared nor resident.
pub(crate) fn explain_artifact(state: &SharedState, model: &ModelId) -> Option<Explanation> {
    let manifest = state.config.as_ref().map(|record| &record.manifest);
    let found = manifest.and_then(|manifest| manifest.find(model));
    let (base, retiring) = match found {
        None => (None, false),
        Some(Artifact::Model(spec)) => (None, spec.retiring),
        Some(Artifact::Adapter(spec, base)) => (Some(spec.base.clone()), spec.retiring || base.retiring),
    };
    let home = manifest.and_then(|manifest| home_zone(manifest, base.as_ref().unwrap_or(model)));
    let zones: Vec<ZoneExplanation> = state.views.values().map(|view| explain_zone(view, model)).collect();
    let resident = zones.iter().any(|zone| !zone.resident.is_empty());
    (found.is_some() || resident).then(|| Explanation {
        model: model.clone(),
        base,
        declared: found.is_some(),
        retiring,
        home: home.cloned(),
        zones,
    })
}

fn explain_zone(view: &ZoneView, model: &ModelId) -> ZoneExplanation {
    let serving = view
        .endpoints
        .iter()
        .filter(|(_, endpoint)| endpoint.state == EndpointState::Live && endpoint.holds(model));
    ZoneExplanation {
        zone: view.zone.clone(),
        resident: serving.map(|(id, _)| id.clone()).collect(),
        reason: view.reasons.get(model).cloned(),
        blocked: view.blocked.get(model).cloned(),
    }
}
