use std::cmp::Reverse;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::Bytes;
use crate::EndpointState;
use crate::Error;
use crate::Manifest;
use crate::ModelId;
use crate::ModelSpec;
use crate::Result;
use crate::ServiceId;
use crate::ZoneId;
use crate::ZoneView;

/// Checks a manifest against the one that it replaces and against the memory of the zones.
///
/// # Errors
///
/// Fails with the name of the first wrong field, of the first model that is removed without having been
/// `retiring`, or of the first model that does not fit.
pub(crate) fn check_change(
    previous: Option<&Manifest>,
    manifest: &Manifest,
    views: &IndexMap<ZoneId, Arc<ZoneView>>,
) -> Result<()> {
    manifest.check()?;
    if let Some(previous) = previous {
        check_removals(previous, manifest)?;
    }
    check_memory(manifest, views)
}

fn check_removals(previous: &Manifest, manifest: &Manifest) -> Result<()> {
    let models = previous.models.iter().map(|(id, spec)| (id, spec.retiring, "models"));
    let adapters = previous.adapters.iter().map(|(id, spec)| (id, spec.retiring, "adapters"));
    for (id, retiring, field) in models.chain(adapters) {
        if !retiring && manifest.find(id).is_none() {
            return Err(Error::data(format!(
                "{field}.{id}: removed, but not marked `retiring` in the version before"
            )));
        }
    }
    Ok(())
}

/// Packs one copy of each model, largest first, into the endpoints of the zones that may hold it.
///
/// First fit decreasing can miss a packing that exists when memory is almost full; the placement is greedy too and
/// could not make use of one.
fn check_memory(manifest: &Manifest, views: &IndexMap<ZoneId, Arc<ZoneView>>) -> Result<()> {
    let mut free = free_memory(manifest, views);
    let mut items: Vec<(&ModelId, &ModelSpec, Bytes)> =
        manifest.models.iter().map(|(id, spec)| (id, spec, size_with_adapter(manifest, id, spec))).collect();
    items.sort_by_key(|(id, _, size)| (Reverse(*size), *id));
    for (id, spec, size) in items {
        let zones = manifest.zones_of(spec);
        if zones.iter().any(|zone| !views.contains_key(zone)) {
            // The memory of a zone without a view, such as at the first start, is unknown.
            continue;
        }
        let fits = free.iter_mut().find(|(zone, service, bytes)| {
            *service == &spec.service && zones.contains(zone) && *bytes >= size
        });
        let Some((_, _, bytes)) = fits else {
            return Err(Error::capacity(format!("models.{id}: {size} bytes do not fit in its zones")));
        };
        bytes.0 -= size.0;
    }
    Ok(())
}

/// Returns the memory of each engine that is not about to stop.
fn free_memory<'a>(
    manifest: &'a Manifest,
    views: &'a IndexMap<ZoneId, Arc<ZoneView>>,
) -> Vec<(&'a ZoneId, &'a ServiceId, Bytes)> {
    let mut free = Vec::new();
    for (zone, view) in views {
        for endpoint in view.endpoints.values() {
            let spec = manifest.services.get(&endpoint.service);
            if let Some(spec) = spec
                && endpoint.state != EndpointState::Leaving
            {
                free.push((zone, &endpoint.service, spec.memory));
            }
        }
    }
    free
}

/// Returns the size of a model with room for its largest adapter.
fn size_with_adapter(manifest: &Manifest, id: &ModelId, spec: &ModelSpec) -> Bytes {
    let adapters = manifest.adapters.values().filter(|adapter| adapter.base == *id);
    spec.size + adapters.map(|adapter| adapter.size).max().unwrap_or_default()
}
