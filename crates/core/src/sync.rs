use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use carobwick_derive::data;
use indexmap::IndexMap;
use xxhash_rust::xxh3::Xxh3;

use crate::Adoption;
use crate::ConfigRecord;
use crate::CrashReport;
use crate::DrainSet;
use crate::Fence;
use crate::InstanceId;
use crate::ModelId;
use crate::SuspectSet;
use crate::Tokens;
use crate::Version;
use crate::ZoneId;
use crate::ZoneView;

/// State that every process holds and exchanges with its peers.
#[derive(Debug, Clone, Default)]
pub struct SharedState {
    /// The manifest in force.
    pub config: Option<Arc<ConfigRecord>>,
    /// Drained targets.
    pub drains: DrainSet,
    /// Views of the zones.
    pub views: IndexMap<ZoneId, Arc<ZoneView>>,
    /// Crash reports.
    pub suspects: SuspectSet,
}

/// Summary of a [`SharedState`], from which a peer tells what the sender lacks.
#[data]
#[derive(Default)]
pub struct Digest {
    /// Version and digest of the manifest.
    pub config: Option<(Version, u64)>,
    /// Hash of the drained targets.
    pub drains: u64,
    /// Rank of each zone's view.
    pub views: IndexMap<ZoneId, (Fence, Version)>,
    /// Hash of the crash reports.
    pub reports: u64,
}

/// The part of a [`SharedState`] that a peer lacks.
#[data]
#[derive(Default)]
pub struct Delta {
    /// A newer manifest.
    pub config: Option<ConfigRecord>,
    /// Drained targets.
    pub drains: DrainSet,
    /// Newer views.
    pub views: Vec<ZoneView>,
    /// Crash reports.
    pub reports: Vec<CrashReport>,
}

/// What a merge changed.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A newer manifest is in force.
    Config(Version),
    /// Drains changed.
    Drains,
    /// The view of a zone changed.
    View(ZoneId),
    /// A crash report was added.
    Suspects,
    /// A manifest with the version in force but another content was refused.
    Contradiction(Version),
}

/// Demand that an entry saw since its last report, for its zone's leader.
#[data]
pub struct DemandReport {
    /// Instance of the entry.
    pub instance: InstanceId,
    /// Length of the interval in milliseconds.
    pub interval_ms: u64,
    /// Demand per model or adapter that had any.
    pub models: IndexMap<ModelId, ModelDemand>,
}

/// Demand for one model or adapter.
#[data]
#[derive(Copy, Default)]
pub struct ModelDemand {
    /// Requests that arrived.
    pub arrivals: u32,
    /// Requests that were refused for lack of capacity or residency.
    pub refusals: u32,
    /// Requests that met their target.
    pub attained: u32,
    /// Tokens generated.
    pub tokens: Tokens,
}

/// Message of the peer protocol, request or reply.
#[data]
pub enum PeerMessage {
    /// Asks for what the sender lacks.
    Sync {
        /// Sender.
        from: InstanceId,
        /// What the sender has.
        digest: Digest,
    },
    /// Reply to `Sync`: what the asker lacked, and what the replier has.
    SyncReply {
        /// What the replier has.
        digest: Digest,
        /// What the asker lacked.
        delta: Delta,
    },
    /// Sends what the receiver lacks.
    Push {
        /// What the receiver lacked.
        delta: Delta,
    },
    /// Reports demand to the zone's leader.
    Demand(DemandReport),
    /// Reply to `Push` and `Demand`.
    Ack,
    /// Demand passed on by another planner; it is not passed on again.
    Relayed(DemandReport),
}

impl SharedState {
    /// Summarises the state.
    pub fn digest(&self) -> Digest {
        Digest {
            config: self.config.as_ref().map(|record| (record.version, record.digest)),
            drains: self.drains.summary(),
            views: self.views.iter().map(|(zone, view)| (zone.clone(), view.rank())).collect(),
            reports: summary(&self.suspects),
        }
    }

    /// Returns what a peer with the given digest lacks.
    pub fn delta_for(&self, peer: &Digest) -> Delta {
        let known = peer.config.map(|(version, _)| version);
        let config = self.config.as_deref().filter(|record| Some(record.version) > known).cloned();
        let newer = |view: &&Arc<ZoneView>| peer.views.get(&view.zone).is_none_or(|rank| view.rank() > *rank);
        let views = self.views.values().filter(newer).map(|view| ZoneView::clone(view)).collect();
        let drains =
            if self.drains.summary() == peer.drains { DrainSet::default() } else { self.drains.clone() };
        let reports = if summary(&self.suspects) == peer.reports {
            Vec::new()
        } else {
            self.suspects.reports().cloned().collect()
        };
        Delta { config, drains, views, reports }
    }

    /// Takes over what is newer and returns what changed.
    pub fn merge(&mut self, delta: Delta) -> Vec<Change> {
        let mut changes = Vec::new();
        if let Some(record) = delta.config {
            changes.extend(self.adopt(record));
        }
        if self.drains.merge(&delta.drains) {
            changes.push(Change::Drains);
        }
        for view in delta.views {
            changes.extend(self.merge_view(view));
        }
        for report in delta.reports {
            if self.suspects.add(report) {
                changes.push(Change::Suspects);
            }
        }
        changes
    }

    /// Puts a manifest in force if its version is above the current one.
    pub fn adopt(&mut self, record: ConfigRecord) -> Option<Change> {
        let version = record.version;
        match record.adoption(self.config.as_deref()) {
            Adoption::Known => None,
            Adoption::Contradiction => Some(Change::Contradiction(version)),
            Adoption::Adopt => {
                let own = self.config.as_ref().map(|own| own.version);
                assert!(own < Some(version), "I8: version {version} does not follow {own:?}");
                self.config = Some(Arc::new(record));
                Some(Change::Config(version))
            }
        }
    }

    /// Takes over a zone's view if its rank is above the current one.
    pub fn merge_view(&mut self, view: ZoneView) -> Option<Change> {
        if self.views.get(&view.zone).is_some_and(|own| own.rank() >= view.rank()) {
            return None;
        }
        let zone = view.zone.clone();
        self.views.insert(zone.clone(), Arc::new(view));
        Some(Change::View(zone))
    }
}

/// Returns a hash of the crash reports that does not depend on their order.
fn summary(suspects: &SuspectSet) -> u64 {
    let hash = |report: &CrashReport| {
        let mut hasher = Xxh3::new();
        (&report.endpoint, report.incarnation).hash(&mut hasher);
        let mut fingerprints = report.fingerprints.clone();
        fingerprints.sort_unstable();
        fingerprints.hash(&mut hasher);
        hasher.finish()
    };
    suspects.reports().map(hash).fold(0, u64::wrapping_add)
}
