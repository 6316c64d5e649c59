use carobwick_derive::data;
use indexmap::IndexSet;

use crate::Bytes;
use crate::EndpointId;
use crate::EndpointPlan;
use crate::Fence;
use crate::Incarnation;
use crate::ModelId;
use crate::ModelVersion;
use crate::PlannedOrder;
use crate::Resident;
use crate::ServiceId;
use crate::Version;
use crate::WriteId;
use crate::ZonePlan;

/// Stored form of a [`ZonePlan`], which lists each version of a model once and refers to it by index.
///
/// The key-value service limits values to 1 MB; without the table, a plan of 96 engines with 240 models and
/// adapters each takes 1.9 MB.
#[data]
pub(crate) struct PlanWire {
    fence: Fence,
    version: Version,
    write_id: WriteId,
    manifest_version: Version,
    held: Vec<ModelId>,
    names: Vec<(ModelId, ModelVersion, Bytes)>,
    endpoints: Vec<EndpointWire>,
}

#[data]
struct EndpointWire {
    id: EndpointId,
    service: ServiceId,
    addr: String,
    incarnation: Incarnation,
    /// Indices into `names`.
    resident: Vec<usize>,
    orders: Vec<PlannedOrder>,
}

impl From<ZonePlan> for PlanWire {
    fn from(plan: ZonePlan) -> Self {
        let mut names = IndexSet::new();
        let endpoints = plan.endpoints.into_iter().map(|endpoint| {
            let resident = endpoint.resident.into_iter();
            EndpointWire {
                id: endpoint.id,
                service: endpoint.service,
                addr: endpoint.addr,
                incarnation: endpoint.incarnation,
                resident: resident.map(|r| names.insert_full((r.model, r.version, r.size)).0).collect(),
                orders: endpoint.orders,
            }
        });
        let endpoints = endpoints.collect();
        Self {
            fence: plan.fence,
            version: plan.version,
            write_id: plan.write_id,
            manifest_version: plan.manifest_version,
            held: plan.held,
            names: names.into_iter().collect(),
            endpoints,
        }
    }
}

impl TryFrom<PlanWire> for ZonePlan {
    type Error = crate::Error;

    fn try_from(wire: PlanWire) -> crate::Result<Self> {
        let find = |index: usize| {
            let (model, version, size) = wire.names.get(index).cloned().ok_or_else(|| {
                crate::Error::data(format!("plan {}: index {index} is out of range of `names`", wire.version))
            })?;
            Ok(Resident { model, version, size })
        };
        let endpoints = wire.endpoints.into_iter().map(|endpoint| {
            Ok(EndpointPlan {
                id: endpoint.id,
                service: endpoint.service,
                addr: endpoint.addr,
                incarnation: endpoint.incarnation,
                resident: endpoint.resident.into_iter().map(find).collect::<crate::Result<_>>()?,
                orders: endpoint.orders,
            })
        });
        let endpoints = endpoints.collect::<crate::Result<_>>()?;
        Ok(Self {
            fence: wire.fence,
            version: wire.version,
            write_id: wire.write_id,
            manifest_version: wire.manifest_version,
            held: wire.held,
            endpoints,
        })
    }
}
