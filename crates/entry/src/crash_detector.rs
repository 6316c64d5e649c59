use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use carobwick_core::EndpointId;
use carobwick_core::EventKind;
use carobwick_core::Incarnation;
use tokio::net::TcpStream;

use crate::context::Context;

/// Delays before each attempt to connect to an endpoint after a lost connection; a crashed one soon refuses.
const PROBE_DELAYS: [Duration; 6] = [
    Duration::from_millis(20),
    Duration::from_millis(80),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1_500),
];
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after a loss in which a different incarnation proves that the endpoint crashed.
const RESTART_WINDOW: Duration = Duration::from_secs(7);

/// Distinguishes crashes of endpoints from other losses of connections.
///
/// An endpoint has crashed if, after a connection was lost, it refuses connections or reports a different incarnation.
#[derive(Debug, Default)]
pub(crate) struct CrashDetector {
    endpoints: Mutex<HashMap<EndpointId, EndpointIncarnations>>,
}

#[derive(Debug, Default)]
struct EndpointIncarnations {
    /// Incarnation that the last response reported.
    last_seen: Option<Incarnation>,
    /// Incarnation, by the zone's view, to which the lost requests were sent; set while the endpoint is probed.
    lost: Option<Incarnation>,
}

impl CrashDetector {
    /// Records the loss of a connection to an endpoint and starts to probe it, unless it is being probed.
    pub fn record_loss(context: &Arc<Context>, id: &EndpointId, addr: &str, incarnation: Incarnation) {
        let mut endpoints = context.crash_detector.lock();
        let incarnations = endpoints.entry(id.clone()).or_default();
        if incarnations.lost.is_none() {
            incarnations.lost = Some(incarnation);
            tokio::spawn(probe_endpoint(Arc::clone(context), id.clone(), addr.to_owned()));
        }
    }

    /// Records the incarnation that a response reports; a change after a loss counts as a crash.
    pub fn record_incarnation(context: &Context, id: &EndpointId, incarnation: Incarnation) {
        let mut endpoints = context.crash_detector.lock();
        let Some(incarnations) = endpoints.get_mut(id) else {
            endpoints.insert(id.clone(), EndpointIncarnations { last_seen: Some(incarnation), lost: None });
            return;
        };
        let changed = incarnations.last_seen.replace(incarnation).is_some_and(|last| last != incarnation);
        let lost = if changed { incarnations.lost.take() } else { None };
        drop(endpoints);
        if let Some(lost) = lost {
            report_crash(context, id, lost);
        }
    }

    /// Removes the endpoints for which `in_use` returns false.
    pub fn retain(&self, in_use: impl Fn(&EndpointId) -> bool) {
        self.lock().retain(|id, _| in_use(id));
    }

    fn take_lost(&self, id: &EndpointId) -> Option<Incarnation> {
        self.lock().get_mut(id)?.lost.take()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<EndpointId, EndpointIncarnations>> {
        self.endpoints.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn probe_endpoint(context: Arc<Context>, id: EndpointId, addr: String) {
    for delay in PROBE_DELAYS {
        tokio::time::sleep(delay).await;
        if refuses_connection(&addr).await {
            if let Some(lost) = context.crash_detector.take_lost(&id) {
                report_crash(&context, &id, lost);
            }
            return;
        }
    }
    tokio::time::sleep(RESTART_WINDOW.saturating_sub(PROBE_DELAYS.iter().sum())).await;
    context.crash_detector.take_lost(&id);
}

async fn refuses_connection(addr: &str) -> bool {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(connected, Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused)
}

fn report_crash(context: &Context, id: &EndpointId, incarnation: Incarnation) {
    let suspect_count = context.dispatch.crashed(id, incarnation);
    tracing::warn!("entry: endpoint {id} crashed with {suspect_count} requests in flight");
    let detail = format!("{id} crashed with {suspect_count} requests of this entry in flight");
    context.timeline.add(EventKind::Endpoint, detail);
}
