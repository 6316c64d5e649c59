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

/// Returns the status of the deployment, according to the state that this planner shares with its peers.
pub(crate) fn report(context: &Context) -> StatusReport {
    context.node.read(|state| {
        let views = || state.views.values();
        StatusReport {
            instance: context.instance.clone(),
            zone: context.zone.clone(),
            version: state.config.as_ref().map(|record| record.version),
            key_value: context.kv_reachable.load(Ordering::Relaxed),
            zones: views().map(|view| zone_report(view)).collect(),
            instances: views().flat_map(|view| instance_reports(state, view)).collect(),
            endpoints: views().flat_map(|view| endpoint_reports(state, view)).collect(),
            drains: drained_targets(state),
        }
    })
}

fn drained_targets(state: &SharedState) -> Vec<DrainTarget> {
    let marks = state.drains.marks().filter(|(_, mark)| mark.drained);
    marks.map(|(target, _)| target.clone()).collect()
}

fn zone_report(view: &ZoneView) -> ZoneReport {
    ZoneReport {
        zone: view.zone.clone(),
        leader: view.leader.clone(),
        term: view.fence.revision(),
        view: view.version,
    }
}

fn instance_reports(state: &SharedState, view: &ZoneView) -> Vec<InstanceReport> {
    let report = |(id, instance): (&InstanceId, &InstanceView)| InstanceReport {
        instance: id.clone(),
        zone: view.zone.clone(),
        live: instance.live,
        version: state.applied.get(id).copied(),
    };
    view.instances.iter().map(report).collect()
}

fn endpoint_reports(state: &SharedState, view: &ZoneView) -> Vec<EndpointReport> {
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
