use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::gateway::RouteTable;

use crate::Category;
use crate::Error;
use crate::Revision;
use crate::Store;
use crate::state::State;

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Longest wait of a watch; the connection's own probes notice earlier that it went silent.
const WAIT: Duration = Duration::from_secs(10);

/// Pause between failed calls.
#[derive(Debug)]
pub(crate) struct Backoff {
    pause: Duration,
}

impl Backoff {
    pub fn new() -> Self {
        Self { pause: FIRST_PAUSE }
    }

    pub async fn wait(&mut self) {
        tokio::time::sleep(self.pause.mul_f64(0.5 + rand::random::<f64>())).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    pub fn reset(&mut self) {
        self.pause = FIRST_PAUSE;
    }
}

/// Keeps the routes up to date.
pub(crate) async fn config(state: Rc<State>, store: Rc<dyn Store>) {
    let mut backoff = Backoff::new();
    let mut after: Option<Revision> = None;
    loop {
        let news = match after {
            None => store.config().await,
            Some(after) => store.watch_config(after, WAIT).await,
        };
        match news {
            Ok(news) => {
                backoff.reset();
                after = Some(news.at);
                if let Some(table) = news.value {
                    adopt(&state, table);
                }
            }
            Err(err) => {
                after = after_failure(after, &err);
                backoff.wait().await;
            }
        }
    }
}

/// Takes a configuration unless it is older than the one in force.
fn adopt(state: &State, table: Arc<RouteTable>) {
    let mut known = state.table.borrow_mut();
    if let Some(old) = known.as_ref()
        && old.version >= table.version
    {
        return;
    }
    tracing::info!("config: version {} is in force, {} routes", table.version, table.routes().count());
    state.meters.configured(table.version.0);
    *known = Some(table);
}

/// Returns where to go on after a failed call: a gap in the history is closed by reading the whole.
fn after_failure(after: Option<Revision>, err: &Error) -> Option<Revision> {
    tracing::info!("config: the store did not answer: {err}");
    match err.category() {
        Category::Busy | Category::Connect => after,
        Category::Compacted | Category::Lost | Category::Codec | Category::Start => None,
    }
}
