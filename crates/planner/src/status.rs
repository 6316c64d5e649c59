use std::sync::atomic::Ordering;

use carobwick_core::DrainTarget;
use carobwick_core::EndpointReport;
use carobwick_core::InstanceId;
use carobwick_core::InstanceReport;
use carobwick_core::InstanceView;
use carobwick_core::SharedState;
use carobwick_core::StatusReport;
use carobwick_core::ZoneReport;
use carobwick_core::ZoneView;

use crate::Context;

/// Describes the deployment as this planner sees it.
pub(crate) fn report(context: &Context) -> StatusReport {
    context.node.read(|state| {
        let views = || state.views.values();
        StatusReport {
            instance: context.instance.clone(),
            zone: context.zone.clone(),
            version: state.config.as_ref().map(|record| record.version),
            key_value: context.reachable.load(Ordering::Relaxed),
            zones: views().map(|view| zone(view)).collect(),
            instances: views().flat_map(|view| instances(state, view)).collect(),
            endpoints: views().flat_map(|view| endpoints(state, view)).collect(),
            drains: drained(state),
        }
    })
}

fn drained(state: &SharedState) -> Vec<DrainTarget> {
    let marks = state.drains.marks().filter(|(_, mark)| mark.drained);
    marks.map(|(target, _)| target.clone()).collect()
}

fn zone(view: &ZoneView) -> ZoneReport {
    ZoneReport {
        zone: view.zone.clone(),
        leader: view.leader.clone(),
        term: view.fence.revision(),
        view: view.version,
    }
}

fn instances(state: &SharedState, view: &ZoneView) -> Vec<InstanceReport> {
    let report = |(id, instance): (&InstanceId, &InstanceView)| InstanceReport {
        instance: id.clone(),
        zone: view.zone.clone(),
        live: instance.live,
        version: state.applied.get(id).copied(),
    };
    view.instances.iter().map(report).collect()
}

fn endpoints(state: &SharedState, view: &ZoneView) -> Vec<EndpointReport> {
    let mut reports = Vec::new();
    for (id, endpoint) in &view.endpoints {
        reports.push(EndpointReport {
            endpoint: id.clone(),
            zone: view.zone.clone(),
            service: endpoint.service.clone(),
            state: endpoint.state,
            drained: state.drains.is_drained(&DrainTarget::Endpoint(id.clone())),
            resident: endpoint.resident.len(),
            load: endpoint.load,
        });
    }
    reports
}
