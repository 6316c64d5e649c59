use carobwick_core::EndpointId;
use carobwick_core::InstanceView;
use carobwick_core::LEASE_TTL;
use carobwick_core::LeaderRecord;
use carobwick_core::LeaseEvent;
use carobwick_core::LeaseStep;
use carobwick_core::ListedEndpoint;
use carobwick_core::Order;
use carobwick_core::PlanEvent;
use carobwick_core::PlanStep;
use carobwick_core::ZoneId;
use carobwick_core::ZoneListing;
use carobwick_core::ZonePlan;
use carobwick_runtime::EngineClient;
use carobwick_runtime::Error;
use carobwick_runtime::InstanceKind;
use carobwick_runtime::InstanceListClient;
use carobwick_runtime::InstanceStatus;
use carobwick_runtime::KeyValueClient;
use carobwick_runtime::KvEntry;
use carobwick_runtime::LeaseId;
use carobwick_runtime::ListedInstance;
use carobwick_runtime::Precondition;
use carobwick_runtime::WriteOutcome;
use carobwick_runtime::now;
use carobwick_runtime::wall_ms;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc::UnboundedSender;

use crate::leader::CallOutcome;

/// Makes the calls of a leader, each in its own task, and sends their outcomes to the leader.
#[derive(Debug, Clone)]
pub(crate) struct Calls {
    pub key_value: KeyValueClient,
    pub instances: InstanceListClient,
    pub engine: EngineClient,
    pub zone: ZoneId,
    pub outcome_sender: UnboundedSender<CallOutcome>,
}

impl Calls {
    pub(crate) fn run_lease_step(&self, step: LeaseStep, record: Option<LeaderRecord>) {
        let calls = self.clone();
        self.start(async move {
            let event = calls.try_lease(step, record).await;
            CallOutcome::Lease(event.unwrap_or_else(|err| {
                tracing::debug!("planner: lease call failed: {err}");
                LeaseEvent::Failed
            }))
        });
    }

    pub(crate) fn run_plan_step(&self, tag: u64, step: PlanStep) {
        let calls = self.clone();
        self.start(async move {
            let event = calls.try_plan(step).await;
            CallOutcome::Plan(
                tag,
                event.unwrap_or_else(|err| {
                    tracing::warn!("planner: call to read or write the plan failed: {err}");
                    PlanEvent::Failed
                }),
            )
        });
    }

    pub(crate) fn read_peer_plan(&self, zone: ZoneId) {
        let calls = self.clone();
        self.start(async move {
            let requested = now();
            let (plan, has_leader) = match calls.try_peer_plan(&zone).await {
                Ok(found) => found,
                Err(err) => {
                    tracing::debug!("planner: plan of zone {zone} not read: {err}");
                    (None, false)
                }
            };
            CallOutcome::PeerPlan { zone, requested, plan, has_leader }
        });
    }

    pub(crate) fn list_instances(&self) {
        let calls = self.clone();
        self.start(async move {
            match calls.instances.list().await {
                Ok(list) => CallOutcome::Listing(Some(zone_listing(&calls.zone, &list))),
                Err(err) => {
                    tracing::warn!("planner: instance list not read: {err}");
                    CallOutcome::Listing(None)
                }
            }
        });
    }

    pub(crate) fn poll_state(&self, endpoint: EndpointId, addr: String) {
        let calls = self.clone();
        self.start(async move {
            let requested = (now(), wall_ms());
            let state = calls.engine.state(&addr).await;
            let state =
                state.inspect_err(|err| tracing::debug!("planner: state of {endpoint} not read: {err}"));
            CallOutcome::State { endpoint, requested, state: state.ok().map(Box::new) }
        });
    }

    pub(crate) fn send_order(&self, endpoint: EndpointId, addr: String, order: Order) {
        let calls = self.clone();
        self.start(async move {
            let reply = calls.engine.order(&addr, &order).await;
            let reply =
                reply.inspect_err(|err| tracing::warn!("planner: no reply to an order to {endpoint}: {err}"));
            CallOutcome::Order { endpoint, id: order.id, reply: reply.ok().map(|result| result.outcome) }
        });
    }

    async fn try_lease(&self, step: LeaseStep, record: Option<LeaderRecord>) -> Result<LeaseEvent, Error> {
        let key = leader_key(&self.zone);
        Ok(match step {
            LeaseStep::Wait => LeaseEvent::Failed,
            LeaseStep::Read | LeaseStep::Verify => {
                LeaseEvent::Read(self.key_value.get(&key).await?.as_ref().map(parse_entry).transpose()?)
            }
            LeaseStep::Grant => LeaseEvent::Granted(self.key_value.grant(LEASE_TTL).await?.0),
            LeaseStep::Create { lease, .. } => {
                let value = serde_json::to_vec(&record)?;
                let outcome =
                    self.key_value.put_if(&key, Precondition::Absent, &value, Some(LeaseId(lease))).await?;
                match outcome {
                    WriteOutcome::Written(revision) => LeaseEvent::Created(revision),
                    WriteOutcome::Conflict(found) => {
                        LeaseEvent::Exists(found.as_ref().map(parse_entry).transpose()?)
                    }
                }
            }
            LeaseStep::KeepAlive(lease) => LeaseEvent::Kept(self.key_value.keep_alive(LeaseId(lease)).await?),
            LeaseStep::Revoke(lease) => {
                self.key_value.revoke(LeaseId(lease)).await?;
                LeaseEvent::Revoked
            }
        })
    }

    async fn try_plan(&self, step: PlanStep) -> Result<PlanEvent, Error> {
        let key = plan_key(&self.zone);
        Ok(match step {
            PlanStep::Wait => PlanEvent::Failed,
            PlanStep::Read => {
                PlanEvent::Read(self.key_value.get(&key).await?.as_ref().map(parse_plan).transpose()?)
            }
            PlanStep::Write { expect, plan } => {
                let precondition = expect.map_or(Precondition::Absent, Precondition::Revision);
                match self.key_value.put_if(&key, precondition, &serde_json::to_vec(&plan)?, None).await? {
                    WriteOutcome::Written(revision) => PlanEvent::Written(revision),
                    WriteOutcome::Conflict(found) => {
                        PlanEvent::Conflict(found.as_ref().map(parse_plan).transpose()?)
                    }
                }
            }
        })
    }

    async fn try_peer_plan(&self, zone: &ZoneId) -> Result<(Option<ZonePlan>, bool), Error> {
        let has_leader = self.key_value.get(&leader_key(zone)).await?.is_some();
        let plan = self.key_value.get(&plan_key(zone)).await?.as_ref().map(parse_entry).transpose()?;
        Ok((plan.map(|(plan, _)| plan), has_leader))
    }

    fn start(&self, call: impl Future<Output = CallOutcome> + Send + 'static) {
        let outcome_sender = self.outcome_sender.clone();
        tokio::spawn(async move {
            // Sending fails only after the leader has stopped, when the outcome no longer matters.
            let _ = outcome_sender.send(call.await);
        });
    }
}

fn leader_key(zone: &ZoneId) -> String {
    format!("zones/{zone}/leader")
}

fn plan_key(zone: &ZoneId) -> String {
    format!("zones/{zone}/plan")
}

fn parse_entry<T: DeserializeOwned>(entry: &KvEntry) -> Result<(T, u64), Error> {
    Ok((serde_json::from_slice(&entry.value)?, entry.revision))
}

fn parse_plan(entry: &KvEntry) -> Result<(Box<ZonePlan>, u64), Error> {
    parse_entry(entry)
}

fn zone_listing(zone: &ZoneId, list: &[ListedInstance]) -> ZoneListing {
    let mut listing = ZoneListing::default();
    for listed in list.iter().filter(|listed| listed.zone == *zone) {
        let leaving = listed.state == InstanceStatus::Leaving;
        match (listed.kind, &listed.service) {
            (InstanceKind::Entry, _) => {
                let view =
                    InstanceView { entry: listed.addr.clone(), peer: listed.peer.clone(), live: !leaving };
                if let Ok(id) = listed.id.parse() {
                    listing.instances.insert(id, view);
                }
            }
            (InstanceKind::Endpoint, Some(service)) => {
                let endpoint =
                    ListedEndpoint { service: service.clone(), addr: listed.addr.clone(), leaving };
                if let Ok(id) = listed.id.parse() {
                    listing.endpoints.insert(id, endpoint);
                }
            }
            (InstanceKind::Endpoint, None) => {
                tracing::warn!("planner: endpoint {} of the instance list has no service", listed.id);
            }
        }
    }
    listing
}
