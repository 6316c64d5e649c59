use std::collections::VecDeque;
use std::pin::Pin;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Restarts of one task within [`WINDOW`] after which its supervisor fails.
const MAX_RESTARTS: usize = 5;
const WINDOW: Duration = Duration::from_mins(1);
const FIRST_DELAY: Duration = Duration::from_millis(100);

type Task = Pin<Box<dyn Future<Output = anyhow::Result<()>> + Send>>;
type Factory = Box<dyn FnMut() -> Task + Send>;

/// Runs named tasks, restarts those that fail, and fails itself when one fails too often.
///
/// A supervisor can be a task of another one, which makes a tree; failure of the root ends the process.
pub struct Supervisor {
    name: &'static str,
    stop: CancellationToken,
    tasks: Vec<(&'static str, Factory)>,
}

impl Supervisor {
    /// Creates a supervisor whose tasks end when `stop` is cancelled.
    pub fn new(name: &'static str, stop: CancellationToken) -> Self {
        Self { name, stop, tasks: Vec::new() }
    }

    /// Adds a task; `start` is called for its first run and for each restart.
    #[must_use]
    pub fn task<F, R>(mut self, name: &'static str, mut start: F) -> Self
    where
        F: FnMut() -> R + Send + 'static,
        R: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        self.tasks.push((name, Box::new(move || Box::pin(start()))));
        self
    }

    /// Runs the tasks until `stop` is cancelled or all of them have ended without error.
    ///
    /// # Errors
    ///
    /// Fails when one task fails more than 5 times in 60 s.
    pub async fn run(self) -> anyhow::Result<()> {
        let mut running = JoinSet::new();
        for (task, start) in self.tasks {
            running.spawn(keep_running(self.name, task, start, self.stop.clone()));
        }
        while let Some(ended) = running.join_next().await {
            ended??;
        }
        Ok(())
    }
}

impl std::fmt::Debug for Supervisor {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Supervisor")
            .field("name", &self.name)
            .field("tasks", &self.tasks.len())
            .finish_non_exhaustive()
    }
}

async fn keep_running(
    name: &'static str,
    task: &'static str,
    mut start: Factory,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut failures = VecDeque::new();
    loop {
        // A task of its own keeps a panic from ending its siblings.
        let run = tokio::spawn(start());
        let abort = run.abort_handle();
        let ended = tokio::select! {
            () = stop.cancelled() => {
                abort.abort();
                return Ok(());
            }
            ended = run => ended,
        };
        let reason = match ended {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(err)) => format!("{err:#}"),
            Err(err) => err.to_string(),
        };
        let now = Instant::now();
        failures.push_back(now);
        failures.retain(|at| now - *at < WINDOW);
        if failures.len() > MAX_RESTARTS {
            anyhow::bail!("{name}: task {task} failed {} times in {WINDOW:?}: {reason}", failures.len());
        }
        tracing::warn!("{name}: task {task} failed and is restarted: {reason}");
        tokio::time::sleep(FIRST_DELAY * 2_u32.pow(failures.len() as u32 - 1)).await;
    }
}
