mod admin;
mod batch;
mod cache;
mod chat;
mod memory;
mod options;
mod reply;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use axum::routing::get;
use axum::routing::post;
use carobwick_core::EngineState;

pub use self::cache::CacheEvent;
pub use self::options::EngineFaults;
pub use self::options::EngineOptions;
pub use self::options::EngineTiming;
pub use self::options::OnCrash;
pub use self::state::EngineStats;

use self::state::Core;
use crate::Faults;
use crate::Server;

/// Stand-in for a model engine.
///
/// # Examples
///
/// ```
/// use carobwick_core::Bytes;
/// use carobwick_standins::EngineFaults;
/// use carobwick_standins::EngineOptions;
/// use carobwick_standins::EngineStandin;
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> anyhow::Result<()> {
/// let options = EngineOptions::new("e1".parse()?, "smid-llm".parse()?, Bytes(80_000_000_000));
/// let engine = EngineStandin::spawn("127.0.0.1:0".parse()?, options, EngineFaults::default()).await?;
/// engine.faults().set(EngineFaults { lose_orders: 1, ..EngineFaults::default() });
/// assert!(engine.state().resident.is_empty());
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct EngineStandin {
    server: Server,
    core: Arc<Core>,
}

impl EngineStandin {
    /// Binds `addr` and serves an engine that has no models in memory.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn spawn(
        addr: SocketAddr,
        options: EngineOptions,
        faults: EngineFaults,
    ) -> anyhow::Result<Self> {
        let core = Arc::new(Core::new(options, faults));
        let engine = Arc::clone(&core);
        let server = Server::spawn_with(addr, |control| {
            engine.set_control(control);
            let switches = engine.faults.router();
            router(engine).merge(switches)
        });
        let server = server.await?;
        tokio::spawn(state::run(Arc::downgrade(&core)));
        Ok(Self { server, core })
    }

    /// Returns the HTTP server of the engine.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &Faults<EngineFaults> {
        &self.core.faults
    }

    /// Returns the state that `GET /admin/state` reports.
    pub fn state(&self) -> EngineState {
        self.core.state_report()
    }

    /// Returns the counts since the start of the stand-in, over all incarnations.
    pub fn stats(&self) -> EngineStats {
        self.core.lock().stats.clone()
    }

    /// Crashes the engine, as a request with the crash marker does.
    pub fn crash(&self) {
        self.core.crash();
    }
}

fn router(core: Arc<Core>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::chat))
        .route("/admin/orders", post(admin::order))
        .route("/admin/state", get(admin::state))
        .route("/cache-events", get(admin::cache_events))
        .route("/stats", get(admin::stats))
        .with_state(core)
}
