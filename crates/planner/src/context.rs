use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use carobwick_core::Change;
use carobwick_core::DemandReport;
use carobwick_core::EventKind;
use carobwick_core::InstanceId;
use carobwick_core::ZoneId;
use carobwick_runtime::KeyValue;
use carobwick_runtime::Metrics;
use carobwick_runtime::Node;
use carobwick_runtime::PeerClient;
use carobwick_runtime::Timeline;
use tokio::sync::Notify;
use tokio::sync::mpsc;

use crate::Settings;

const KEY_VALUE_TIMEOUT: Duration = Duration::from_secs(1);
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// What the tasks of a planner share.
#[derive(Debug, Clone)]
pub struct Context {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Availability zone of this instance.
    pub zone: ZoneId,
    /// Peer addresses to start with.
    pub seeds: Arc<[SocketAddr]>,
    /// State shared with peers.
    pub node: Node,
    /// Events of this process.
    pub timeline: Timeline,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// Client of the key-value service.
    pub key_value: KeyValue,
    /// Whether the key-value service answered its last call.
    pub reachable: Arc<AtomicBool>,
    /// Client of the peer protocol.
    pub peers: PeerClient,
    /// Wakes the exchange, so that an accepted change is disseminated at once.
    pub wake: Arc<Notify>,
    /// Takes demand reports for the zone's leader, if this process is it.
    pub demand: mpsc::Sender<DemandReport>,
}

impl Context {
    pub(crate) fn open(
        settings: &Settings,
        demand: mpsc::Sender<DemandReport>,
        process: &'static str,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            seeds: settings.seeds.clone().into(),
            node: Node::open(),
            timeline: Timeline::open(settings.instance.clone(), process),
            metrics: Metrics::open()?,
            key_value: KeyValue::open(&settings.key_value, KEY_VALUE_TIMEOUT),
            reachable: Arc::default(),
            peers: PeerClient::open(PEER_TIMEOUT),
            wake: Arc::default(),
            demand,
        })
    }

    /// Adds the changes that came from `source` to the timeline.
    pub(crate) fn record(&self, changes: &[Change], source: &str) {
        for change in changes {
            match change {
                Change::Config(version) => {
                    self.timeline.add(EventKind::Config, format!("version {version} adopted from {source}"));
                }
                Change::Drains => {
                    self.timeline.add(EventKind::Drain, format!("drains learned from {source}"));
                }
                Change::Contradiction(version) => {
                    tracing::error!("planner: {source} has another manifest of version {version}");
                    let detail = format!("version {version} from {source} refused: other content");
                    self.timeline.add(EventKind::Config, detail);
                }
                Change::View(_) | Change::Suspects => {}
            }
        }
    }
}
