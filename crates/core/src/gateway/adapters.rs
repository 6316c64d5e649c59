use std::time::Duration;

use crate::EndpointId;
use crate::ServiceId;
use crate::Time;
use crate::gateway::AdapterRequest;
use crate::gateway::DemandTable;
use crate::gateway::EngineAction;
use crate::gateway::EngineOrder;
use crate::gateway::EngineRecord;
use crate::gateway::EngineRegistry;
use crate::gateway::EngineSpec;
use crate::gateway::Weights;

/// Time since its last request after which an adapter may be evicted for another one.
const MIN_IDLE_TIME: Duration = Duration::from_millis(500);

/// Returns the order that loads an adapter on an engine on which its model is resident, or that evicts
/// another adapter first.
///
/// Engines of the requesting zone are preferred, then those with the fewest adapters; if an engine offers the
/// adapter already, only an engine of the requesting zone loads it. If no engine offers the adapter and none
/// has the capacity for it, the least recently requested adapter is evicted. Engines with a rate limit are
/// used only if no other one has the model. Several adapters may be loaded on one engine without waiting for a
/// report in between. Returns none if no order is needed or none is possible now.
pub fn plan_adapter(
    service: &ServiceId,
    spec: &EngineSpec,
    registry: &EngineRegistry,
    demand: &DemandTable,
    request: &AdapterRequest,
    now: Time,
) -> Option<EngineOrder> {
    let wanted = &request.weights;
    let size = spec.models.get(&wanted.model)?.adapter;
    let candidates = || {
        let holders = registry.holders(service, &wanted.model);
        holders.filter(|(_, record)| record.accepts_orders() && !record.offers(wanted))
    };
    let has_capacity = |record: &EngineRecord| {
        record.adapter_count() < spec.max_adapters as usize && record.used_memory(spec) + size <= spec.memory
    };
    let is_offered = registry.holders(service, &wanted.model).any(|(_, record)| record.offers(wanted));
    let with_capacity = candidates()
        .filter(|(_, record)| has_capacity(record) && (!is_offered || record.zone == request.zone));
    let with_capacity =
        with_capacity.min_by_key(|(_, record)| (record.zone != request.zone, record.adapter_count()));
    if let Some((id, record)) = with_capacity {
        return Some(EngineOrder::new(id, record, EngineAction::LoadAdapter(wanted.clone())));
    }
    if is_offered {
        return None;
    }
    let mut oldest: Option<(Time, &EndpointId, &EngineRecord, Weights)> = None;
    for (id, record) in candidates() {
        for (model, adapters) in &record.resident.models {
            for name in adapters {
                let weights = Weights { model: model.clone(), adapter: Some(name.clone()) };
                let last_used = demand.last_request(service, &weights).unwrap_or(Time::ZERO);
                let is_idle = now >= last_used + MIN_IDLE_TIME && !record.pending.contains(&weights);
                if is_idle && oldest.as_ref().is_none_or(|(earliest, ..)| last_used < *earliest) {
                    oldest = Some((last_used, id, record, weights));
                }
            }
        }
    }
    let (_, id, record, weights) = oldest?;
    Some(EngineOrder::new(id, record, EngineAction::UnloadAdapter(weights)))
}
