use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use carobwick_core::Change;
use carobwick_core::DemandReport;
use carobwick_core::EventKind;
use carobwick_core::InstanceId;
use carobwick_core::Version;
use carobwick_core::ZoneId;
use carobwick_runtime::KeyValueClient;
use carobwick_runtime::MergeOutcome;
use carobwick_runtime::Metrics;
use carobwick_runtime::Node;
use carobwick_runtime::PeerClient;
use carobwick_runtime::Timeline;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::Settings;
use crate::meters::Meters;

const KEY_VALUE_TIMEOUT: Duration = Duration::from_secs(1);
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time since the last message of this instance's entry after which its report is ignored; it sends one every
/// 0.5 s.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(5);

/// State and clients that the tasks of a planner share.
#[derive(Debug, Clone)]
pub struct Context {
    /// Id of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Peer addresses from the settings, which are used while too few peers are known.
    pub seeds: Arc<[SocketAddr]>,
    /// State shared with peers.
    pub node: Node,
    /// Timeline of this process.
    pub timeline: Timeline,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Counters of this process.
    pub(crate) meters: Meters,
    /// Client of the key-value service.
    pub key_value: KeyValueClient,
    /// Whether the last call to the key-value service succeeded.
    pub kv_reachable: Arc<AtomicBool>,
    /// Client of the peer protocol.
    pub peers: PeerClient,
    /// Starts the next exchange at once, so that an accepted change doesn't wait for the interval.
    pub wake: Arc<Notify>,
    /// Last report of the entry of this instance.
    pub(crate) entry: Arc<Mutex<Option<EntryReport>>>,
    /// Version of the last manifest that was not adopted because its content differs from the one in force.
    pub(crate) last_conflict: Arc<AtomicU64>,
    /// Sends demand reports to the leader task of this process.
    pub demand: mpsc::Sender<DemandReport>,
}

/// Manifest version that the entry of this instance has in force, with the time of the report.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EntryReport {
    received_at: Instant,
    version: Option<Version>,
}

impl Context {
    pub(crate) fn open(
        settings: &Settings,
        demand: mpsc::Sender<DemandReport>,
        process: &'static str,
    ) -> anyhow::Result<Self> {
        let (node, metrics, kv_reachable) = (Node::open(), Metrics::open()?, Arc::default());
        Ok(Self {
            meters: Meters::open(&metrics, &node, &kv_reachable),
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            seeds: settings.seeds.clone().into(),
            node,
            timeline: Timeline::open(settings.instance.clone(), process),
            metrics,
            key_value: KeyValueClient::open(&settings.key_value, KEY_VALUE_TIMEOUT),
            kv_reachable,
            peers: PeerClient::open(PEER_TIMEOUT),
            wake: Arc::default(),
            entry: Arc::default(),
            last_conflict: Arc::default(),
            demand,
        })
    }

    /// Adds the changes received from `source` to the timeline.
    pub(crate) fn record_merge(&self, outcome: &MergeOutcome, source: &str) {
        for change in &outcome.changes {
            match change {
                Change::Config(version) => {
                    tracing::info!("planner: version {version} adopted from {source}");
                    self.timeline.add(EventKind::Config, format!("version {version} adopted from {source}"));
                }
                Change::Drains => {
                    self.timeline.add(EventKind::Drain, format!("drains learned from {source}"));
                }
                Change::View(_) | Change::CrashReport => {}
            }
        }
        if let Some(version) = outcome.conflicting_version {
            self.record_conflict(version, source);
        }
    }

    /// Logs that `source` has a different manifest under the version in force; repeated calls for one version
    /// log it once.
    pub(crate) fn record_conflict(&self, version: Version, source: &str) {
        if self.last_conflict.swap(version.0, Ordering::Relaxed) == version.0 {
            return;
        }
        tracing::error!(
            "planner: {source} has a different manifest under version {version}; it is not adopted"
        );
        self.timeline.add(EventKind::Config, format!("version {version} of {source} refused: other content"));
    }

    /// Records the manifest version that the entry of this instance has in force.
    pub(crate) fn record_entry_version(&self, version: Option<Version>) {
        *self.entry.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(EntryReport { received_at: Instant::now(), version });
    }

    /// Records the manifest version that this instance applies: the lower one of the planner and its entry,
    /// or that of the planner while no entry reports.
    pub(crate) fn record_applied(&self) {
        let entry = *self.entry.lock().unwrap_or_else(PoisonError::into_inner);
        let entry =
            entry.filter(|report| report.received_at.elapsed() < ENTRY_TIMEOUT).map(|report| report.version);
        let own = self.node.read(|state| state.config.as_ref().map(|record| record.version));
        if let Some(version) = entry.map_or(own, |entry| entry.min(own)) {
            self.node.record_applied(&self.instance, version);
        }
    }
}
