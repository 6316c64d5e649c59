use std::collections::VecDeque;
use std::pin::Pin;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

/// Restarts of one task within [`WINDOW`] after which its supervisor fails.
const MAX_RESTARTS: usize = 5;
const WINDOW: Duration = Duration::from_mins(1);
const FIRST_DELAY: Duration = Duration::from_millis(100);
/// Time that a graceful task has to end after `stop` is cancelled.
const GRACE: Duration = Duration::from_secs(30);

type Run = Pin<Box<dyn Future<Output = anyhow::Result<()>> + Send>>;
type Factory = Box<dyn FnMut() -> Run + Send>;

/// Runs named tasks, restarts those that fail, and fails itself when one fails too often.
///
/// A supervisor can be a task of another one, which makes a tree; failure of the root ends the process.
pub struct Supervisor {
    name: &'static str,
    stop: CancellationToken,
    tasks: Vec<Task>,
}

struct Task {
    name: &'static str,
    start: Factory,
    grace: Duration,
}

impl Supervisor {
    /// Creates a supervisor whose tasks end when `stop` is cancelled.
    pub fn new(name: &'static str, stop: CancellationToken) -> Self {
        Self { name, stop, tasks: Vec::new() }
    }

    /// Adds a task; `start` is called for its first run and for each restart. The task is aborted on `stop`.
    #[must_use]
    pub fn task<F, R>(self, name: &'static str, start: F) -> Self
    where
        F: FnMut() -> R + Send + 'static,
        R: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        self.add(name, start, Duration::ZERO)
    }

    /// Adds a task that watches `stop` itself and has 30 s to end after it.
    #[must_use]
    pub fn graceful_task<F, R>(self, name: &'static str, start: F) -> Self
    where
        F: FnMut() -> R + Send + 'static,
        R: Future<Output = anyhow::Result<()>> + Send + 'static,
    {
        self.add(name, start, GRACE)
    }

    /// Runs the tasks until `stop` is cancelled or all of them have ended without error.
    ///
    /// # Errors
    ///
    /// Fails when one task fails more than 5 times in 60 s.
    pub async fn run(self) -> anyhow::Result<()> {
        let mut running = JoinSet::new();
        for task in self.tasks {
            running.spawn(keep_running(self.name, task, self.stop.clone()));
        }
        while let Some(ended) = running.join_next().await {
            ended??;
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

async fn keep_running(name: &'static str, mut task: Task, stop: CancellationToken) -> anyhow::Result<()> {
    let mut failures = VecDeque::new();
    loop {
        // A task of its own keeps a panic from ending its siblings; it must not outlive its supervisor.
        let mut run = AbortOnDropHandle::new(tokio::spawn((task.start)()));
        let ended = tokio::select! {
            () = stop.cancelled() => {
                if !task.grace.is_zero() && tokio::time::timeout(task.grace, &mut run).await.is_err() {
                    tracing::warn!("{name}: task {} did not end in {:?} and is aborted", task.name, task.grace);
                }
                return Ok(());
            }
            ended = &mut run => ended,
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
            anyhow::bail!(
                "{name}: task {} failed {} times in {WINDOW:?}: {reason}",
                task.name,
                failures.len()
            );
        }
        tracing::warn!("{name}: task {} failed and is restarted: {reason}", task.name);
        let delay = FIRST_DELAY * 2_u32.pow(failures.len() as u32 - 1);
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep(delay) => {}
        }
    }
}
