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
use crate::home_zone;

/// Checks a manifest, its changes from the previous one, and that its models fit into the memory of the
/// zones.
///
/// # Errors
///
/// Fails with the name of the first invalid field, of the first model or adapter that is removed without
/// having been `retiring`, or of the first model that does not fit.
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

/// An engine, as a bin that models are packed into.
#[derive(Debug)]
struct Bin<'a> {
    zone: &'a ZoneId,
    service: &'a ServiceId,
    memory: Bytes,
    models: Bytes,
    /// Memory reserved for the largest adapter of the models; only one adapter needs it at a time.
    adapter: Bytes,
}

impl Bin<'_> {
    fn fits(&self, size: Bytes, adapter: Bytes) -> bool {
        self.models + size + self.adapter.max(adapter) <= self.memory
    }
}

/// Checks that one copy of each model fits into the engines of its home zone, by first fit decreasing.
///
/// First fit decreasing can miss a packing that exists when memory is almost full. Placement is greedy too
/// and would not find such a packing either.
fn check_memory(manifest: &Manifest, views: &IndexMap<ZoneId, Arc<ZoneView>>) -> Result<()> {
    let mut bins = bins(manifest, views);
    let mut models: Vec<(&ModelId, &ModelSpec)> = manifest.models.iter().collect();
    models.sort_by_key(|(id, spec)| (Reverse(spec.size), *id));
    for (id, spec) in models {
        // The memory of a zone without a view is unknown, as at the first start.
        let Some(home) = home_zone(manifest, id).filter(|home| views.contains_key(*home)) else {
            continue;
        };
        let adapter = largest_adapter(manifest, id);
        let bin = bins
            .iter_mut()
            .find(|bin| bin.zone == home && *bin.service == spec.service && bin.fits(spec.size, adapter));
        let Some(bin) = bin else {
            let size = spec.size;
            return Err(Error::capacity(format!(
                "models.{id}: {size} bytes do not fit in its home zone {home}"
            )));
        };
        bin.models = bin.models + spec.size;
        bin.adapter = bin.adapter.max(adapter);
    }
    Ok(())
}

/// Returns the engines that are not about to stop.
fn bins<'a>(manifest: &'a Manifest, views: &'a IndexMap<ZoneId, Arc<ZoneView>>) -> Vec<Bin<'a>> {
    let mut bins = Vec::new();
    for (zone, view) in views {
        let staying = view.endpoints.values().filter(|endpoint| endpoint.state != EndpointState::Leaving);
        for endpoint in staying {
            if let Some(spec) = manifest.services.get(&endpoint.service) {
                let (service, memory) = (&endpoint.service, spec.memory);
                bins.push(Bin { zone, service, memory, models: Bytes(0), adapter: Bytes(0) });
            }
        }
    }
    bins
}

fn largest_adapter(manifest: &Manifest, base: &ModelId) -> Bytes {
    let adapters = manifest.adapters.values().filter(|adapter| adapter.base == *base);
    adapters.map(|adapter| adapter.size).max().unwrap_or_default()
}
