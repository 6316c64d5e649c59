use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use carobwick_core::gateway::Listed;
use carobwick_core::gateway::RouteTable;

use crate::Category;
use crate::Error;
use crate::Revision;
use crate::Store;
use crate::clock::now;
use crate::lead::Desk;
use crate::state::State;

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Part of the drain time between two looks at the list of endpoints; events in between come with the next one.
const LIST_PART: u32 = 2;
/// Longest wait of a watch; the connection's own probes notice earlier that it went silent.
const WAIT: Duration = Duration::from_secs(10);

/// Pause between failed calls.
#[derive(Debug)]
struct Backoff {
    pause: Duration,
}

impl Backoff {
    fn new() -> Self {
        Self { pause: FIRST_PAUSE }
    }

    async fn wait(&mut self) {
        tokio::time::sleep(self.pause.mul_f64(0.5 + rand::random::<f64>())).await;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
    }

    fn reset(&mut self) {
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
                after = after_failure("config", after, &err);
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
    *known = Some(table);
}

/// Keeps the list of endpoints up to date.
pub(crate) async fn endpoints(state: Rc<State>, store: Rc<dyn Store>, desk: Rc<Desk>) {
    let mut backoff = Backoff::new();
    let mut after: Option<Revision> = None;
    let mut away = false;
    loop {
        let result = match after {
            None => store.endpoints().await.map(|list| {
                if away {
                    away = false;
                    state.roster.borrow_mut().store_returned(now());
                    tracing::info!("list: the store answers again");
                }
                state.roster.borrow_mut().replace(list.value, now());
                list.at
            }),
            Some(after) => store.watch_endpoints(after, WAIT).await.map(|news| {
                take(&state, news.value);
                news.at
            }),
        };
        match result {
            Ok(at) => {
                backoff.reset();
                after = Some(at);
                updated(&state, &desk);
                tokio::time::sleep(state.terms.get().drain / LIST_PART).await;
            }
            Err(err) => {
                away |= err.category() != Category::Compacted;
                after = after_failure("list", None, &err);
                backoff.wait().await;
            }
        }
        settle(&state);
    }
}

fn take(state: &State, news: Vec<Listed>) {
    let mut roster = state.roster.borrow_mut();
    for change in news {
        if let Listed::Removed(id) = &change {
            tracing::info!("list: endpoint {id} was removed");
        }
        roster.change(change, now());
    }
}

fn settle(state: &State) {
    let gone = state.roster.borrow_mut().settle(now());
    for id in &gone {
        tracing::info!("list: endpoint {id} did not come back");
    }
    state.pool.tidy();
}

/// Passes the list on to those who work with it.
fn updated(state: &State, desk: &Desk) {
    if !state.listed.replace(true) {
        tracing::info!("list: {} endpoints are known", state.roster.borrow().iter().count());
    }
    let roster = state.roster.borrow();
    state.balancer.borrow_mut().retain(|id| roster.get(id).is_some());
    desk.listed(&roster);
    drop(roster);
    state.changed.notify_waiters();
}

/// Returns where to go on after a failed call: a gap in the history is closed by reading the whole.
fn after_failure(part: &str, after: Option<Revision>, err: &Error) -> Option<Revision> {
    tracing::info!("{part}: the store did not answer: {err}");
    match err.category() {
        Category::Busy | Category::Connect => after,
        Category::Compacted | Category::Lost | Category::Codec | Category::Start => None,
    }
}
