use std::collections::VecDeque;
use std::pin::Pin;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// Largest number of restarts of one task within [`RESTART_WINDOW`]; one more failure makes its supervisor
/// fail.
const MAX_RESTARTS: usize = 5;
const RESTART_WINDOW: Duration = Duration::from_mins(1);
/// Delay before the first restart; it doubles with each further failure in the window.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Time that a graceful task has to end after `stop` is cancelled.
const GRACE_PERIOD: Duration = Duration::from_secs(30);

type TaskFuture = Pin<Box<dyn Future<Output = anyhow::Result<()>> + Send>>;
type TaskFactory = Box<dyn FnMut() -> TaskFuture + Send>;

/// Runs named tasks, restarts those that fail, and fails itself when one fails too often.
///
/// A supervisor can be a task of another one, which forms a tree; a failure of the root ends the process.
pub struct Supervisor {
    name: &'static str,
    stop: CancellationToken,
    tasks: Vec<Task>,
}

struct Task {
    name: &'static str,
    start: TaskFactory,
    grace: Duration,
}

impl Supervisor {
    /// Creates a supervisor whose tasks end when `stop` is cancelled.
    pub fn new(name: &'static str, stop: CancellationToken) -> Self {
        Self { name, stop, tasks: Vec::new() }
    }

    /// Adds a task, which `start` creates at first and for each restart. It is aborted when `stop` is
    /// cancelled.
    #[must_use]
    pub fn task<F, R>(self, name: &'static str, start: F) -> Self
    where
        F: FnMut() -> R + Send + 'static,
        R: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        self.add(name, start, Duration::ZERO)
    }

    /// Adds a task that watches `stop` itself and is aborted if it has not ended 30 s after `stop` is
    /// cancelled.
    #[must_use]
    pub fn graceful_task<F, R>(self, name: &'static str, start: F) -> Self
    where
        F: FnMut() -> R + Send + 'static,
        R: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        self.add(name, start, GRACE_PERIOD)
    }

    /// Runs the tasks until `stop` is cancelled or all of them have ended without error.
    ///
    /// # Errors
    ///
    /// Fails when one task fails more than 5 times in 60 s.
    pub async fn run(self) -> anyhow::Result<()> {
        let mut running = JoinSet::new();
        for task in self.tasks {
            running.spawn(run_with_restarts(self.name, task, self.stop.clone()));
        }
        while let Some(result) = running.join_next().await {
            result??;
        }
        Ok(())
    }

    fn add<F, R>(mut self, name: &'static str, mut start: F, grace: Duration) -> Self
    where
        F: FnMut() -> R + Send + 'static,
        R: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        self.tasks.push(Task { name, start: Box::new(move || Box::pin(start())), grace });
        self
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

async fn run_with_restarts(
    name: &'static str,
    mut task: Task,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut failures = VecDeque::new();
    loop {
        // A separate Tokio task isolates the other tasks from a panic; it must not outlive its supervisor.
        let mut handle = AbortOnDropHandle::new(tokio::spawn((task.start)()));
        let result = tokio::select! {
            () = stop.cancelled() => {
                if !task.grace.is_zero() && tokio::time::timeout(task.grace, &mut handle).await.is_err() {
                    tracing::warn!(
                        "{name}: task {} did not stop within {:?}, aborting it",
                        task.name,
                        task.grace
                    );
                }
                return Ok(());
            }
            result = &mut handle => result,
        };
        let reason = match result {
            Ok(Ok(())) => return Ok(()),
            Ok(Err(err)) => format!("{err:#}"),
            Err(err) => err.to_string(),
        };
        let now = Instant::now();
        failures.push_back(now);
        failures.retain(|at| now - *at < RESTART_WINDOW);
        if failures.len() > MAX_RESTARTS {
            anyhow::bail!(
                "{name}: task {} failed {} times in {RESTART_WINDOW:?}: {reason}",
                task.name,
                failures.len()
            );
        }
        tracing::warn!("{name}: task {} failed, restarting it: {reason}", task.name);
        let backoff = INITIAL_BACKOFF * 2_u32.pow(failures.len() as u32 - 1);
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep(backoff) => {}
        }
    }
}
