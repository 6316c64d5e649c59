use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use carobwick_derive::data;
use carobwick_runtime::ListedInstance;

use crate::Faults;
use crate::Server;
use crate::server::Connection;

/// Stand-in for the platform's instance list.
#[derive(Debug)]
pub struct InstancesStandin {
    server: Server,
    shared: Arc<Shared>,
}

/// Faults of the instance list.
#[data]
#[derive(Default)]
#[serde(default, deny_unknown_fields)]
pub struct InstanceFaults {
    /// Whether to close the connection of every call to the list without a response.
    pub down: bool,
    /// Whether to hold back changes until this is off again.
    pub stale: bool,
}

/// Body of `POST /instances`.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(untagged)]
pub enum InstanceChange {
    /// Replaces the whole list.
    Replace(Vec<ListedInstance>),
    /// Adds, replaces and removes entries.
    Change {
        /// Entries that replace those with the same id, or are added if there is none.
        #[serde(default)]
        set: Vec<ListedInstance>,
        /// Ids of the entries to remove.
        #[serde(default)]
        remove: Vec<String>,
    },
}

#[derive(Debug)]
struct Shared {
    lag: Duration,
    faults: Faults<InstanceFaults>,
    lists: Mutex<Lists>,
}

/// The list that callers see, and the later versions with the times from which they are visible.
#[derive(Debug)]
struct Lists {
    visible: Vec<ListedInstance>,
    pending: VecDeque<(Instant, Vec<ListedInstance>)>,
}

impl InstancesStandin {
    /// Binds `addr` and serves the list; later changes become visible after `lag`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn spawn(
        addr: SocketAddr,
        initial: Vec<ListedInstance>,
        lag: Duration,
        faults: InstanceFaults,
    ) -> anyhow::Result<Self> {
        let lists = Lists { visible: initial, pending: VecDeque::new() };
        let shared = Arc::new(Shared { lag, faults: Faults::open(faults), lists: Mutex::new(lists) });
        let router = Router::new()
            .route("/instances", get(list).post(change))
            .with_state(Arc::clone(&shared))
            .merge(shared.faults.router());
        Ok(Self { server: Server::spawn(addr, router).await?, shared })
    }

    /// Returns the HTTP server of the list.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &Faults<InstanceFaults> {
        &self.shared.faults
    }

    /// Changes the list, as `POST /instances` does.
    pub fn change(&self, change: InstanceChange) {
        self.shared.change(change);
    }
}

impl Shared {
    fn change(&self, change: InstanceChange) {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        let last = lists.pending.back().map_or(&lists.visible, |(_, list)| list).clone();
        lists.pending.push_back((Instant::now() + self.lag, apply(last, change)));
    }

    fn list(&self) -> Vec<ListedInstance> {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        if !self.faults.read(|faults| faults.stale) {
            let now = Instant::now();
            while let Some((_, list)) = lists.pending.pop_front_if(|(at, _)| *at <= now) {
                lists.visible = list;
            }
        }
        lists.visible.clone()
    }
}

async fn list(State(shared): State<Arc<Shared>>, Extension(connection): Extension<Connection>) -> Response {
    if shared.faults.read(|faults| faults.down) {
        return connection.abort().await;
    }
    Json(shared.list()).into_response()
}

async fn change(State(shared): State<Arc<Shared>>, Json(change): Json<InstanceChange>) {
    shared.change(change);
}

fn apply(mut list: Vec<ListedInstance>, change: InstanceChange) -> Vec<ListedInstance> {
    match change {
        InstanceChange::Replace(new) => new,
        InstanceChange::Change { set, remove } => {
            list.retain(|listed| !remove.contains(&listed.id));
            for entry in set {
                match list.iter_mut().find(|listed| listed.id == entry.id) {
                    Some(listed) => *listed = entry,
                    None => list.push(entry),
                }
            }
            list
        }
    }
}
