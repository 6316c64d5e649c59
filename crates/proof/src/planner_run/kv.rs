use std::collections::BTreeMap;

use carobwick_core::LEASE_TTL;
use carobwick_core::LeaderRecord;
use carobwick_core::LeaseEvent;
use carobwick_core::LeaseStep;
use carobwick_core::PlanEvent;
use carobwick_core::PlanStep;
use carobwick_core::Time;
use carobwick_core::ZoneId;
use carobwick_core::ZonePlan;

/// Fake key-value service with the leader and the plan of each zone.
#[derive(Debug, Default)]
pub(super) struct FakeKv {
    revision: u64,
    /// Record, its revision and its lease.
    leaders: BTreeMap<ZoneId, (LeaderRecord, u64, u64)>,
    plans: BTreeMap<ZoneId, (ZonePlan, u64)>,
    /// Time at which each lease expires, in microseconds.
    leases: BTreeMap<u64, u64>,
}

/// A call to the service.
#[derive(Debug, Clone)]
pub(super) enum KvCall {
    Lease { zone: ZoneId, step: LeaseStep, record: Option<LeaderRecord> },
    Plan { zone: ZoneId, tag: u64, step: PlanStep },
    PeerPlan { zone: ZoneId, requested_at: Time },
}

/// Outcome of a call, as the planner receives it.
#[derive(Debug, Clone)]
pub(super) enum KvReply {
    Lease(LeaseEvent),
    Plan(u64, PlanEvent),
    PeerPlan { zone: ZoneId, requested_at: Time, plan: Option<ZonePlan>, has_leader: bool },
}

impl KvCall {
    /// Returns the outcome that the planner receives if there is no reply.
    pub(super) fn failure(&self) -> KvReply {
        match self {
            Self::Lease { .. } => KvReply::Lease(LeaseEvent::Failed),
            Self::Plan { tag, .. } => KvReply::Plan(*tag, PlanEvent::Failed),
            Self::PeerPlan { zone, requested_at } => KvReply::PeerPlan {
                zone: zone.clone(),
                requested_at: *requested_at,
                plan: None,
                has_leader: false,
            },
        }
    }
}

impl FakeKv {
    /// Carries out a call at the time `now` of the simulation.
    pub(super) fn call(&mut self, now: u64, call: KvCall) -> KvReply {
        self.expire(now);
        match call {
            KvCall::Lease { zone, step, record } => KvReply::Lease(self.lease(now, &zone, &step, record)),
            KvCall::Plan { zone, tag, step } => KvReply::Plan(tag, self.plan(&zone, step)),
            KvCall::PeerPlan { zone, requested_at } => {
                let plan = self.plans.get(&zone).map(|(plan, _)| plan.clone());
                let has_leader = self.leaders.contains_key(&zone);
                KvReply::PeerPlan { zone, requested_at, plan, has_leader }
            }
        }
    }

    fn lease(
        &mut self,
        now: u64,
        zone: &ZoneId,
        step: &LeaseStep,
        record: Option<LeaderRecord>,
    ) -> LeaseEvent {
        let ends = now + LEASE_TTL.as_micros() as u64;
        let found = self.leaders.get(zone).map(|(record, revision, _)| (record.clone(), *revision));
        match step {
            LeaseStep::Wait => LeaseEvent::Failed,
            LeaseStep::Read | LeaseStep::Verify => LeaseEvent::Read(found),
            LeaseStep::Grant => {
                self.revision += 1;
                self.leases.insert(self.revision, ends);
                LeaseEvent::Granted(self.revision)
            }
            LeaseStep::Create { lease, .. } => match record.filter(|_| self.leases.contains_key(lease)) {
                None => LeaseEvent::Failed,
                Some(_) if found.is_some() => LeaseEvent::Exists(found),
                Some(record) => {
                    self.revision += 1;
                    self.leaders.insert(zone.clone(), (record, self.revision, *lease));
                    LeaseEvent::Created(self.revision)
                }
            },
            LeaseStep::KeepAlive(lease) => match self.leases.get_mut(lease) {
                None => LeaseEvent::Kept(false),
                Some(end) => {
                    *end = ends;
                    LeaseEvent::Kept(true)
                }
            },
            LeaseStep::Revoke(lease) => {
                self.leases.remove(lease);
                self.expire(now);
                LeaseEvent::Revoked
            }
        }
    }

    fn plan(&mut self, zone: &ZoneId, step: PlanStep) -> PlanEvent {
        let found = self.plans.get(zone).map(|(plan, revision)| (Box::new(plan.clone()), *revision));
        match step {
            PlanStep::Wait => PlanEvent::Failed,
            PlanStep::Read => PlanEvent::Read(found),
            PlanStep::Write { expect, plan } => {
                if found.as_ref().map(|(_, revision)| *revision) != expect {
                    return PlanEvent::Conflict(found);
                }
                self.revision += 1;
                self.plans.insert(zone.clone(), (*plan, self.revision));
                PlanEvent::Written(self.revision)
            }
        }
    }

    fn expire(&mut self, now: u64) {
        self.leases.retain(|_, end| *end > now);
        let leases = &self.leases;
        self.leaders.retain(|_, (_, _, lease)| leases.contains_key(lease));
    }
}
