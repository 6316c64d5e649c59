use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use crate::context::Context;

const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Periodically removes the state of endpoints that left the zone views and closes idle connections to them.
pub(crate) async fn remove_stale(context: Arc<Context>) -> anyhow::Result<()> {
    loop {
        tokio::time::sleep(CLEANUP_INTERVAL).await;
        let known: HashSet<String> = context.node.read(|state| {
            let views = state.views.values();
            let endpoints =
                views.clone().flat_map(|view| view.endpoints.values().map(|endpoint| endpoint.addr.clone()));
            let entries =
                views.flat_map(|view| view.instances.values().map(|instance| instance.entry.clone()));
            endpoints.chain(entries).collect()
        });
        context.upstream.retain(|addr| known.contains(addr));
        let view = context.node.read(|state| state.views.get(&context.settings.zone).cloned());
        context.crash_detector.retain(|id| view.as_ref().is_some_and(|view| view.endpoints.contains_key(id)));
    }
}
