//! Tests of restarts, their limit and the end of tasks, in virtual time.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobwick_runtime::Supervisor;
use test_case::test_case;
use tokio_util::sync::CancellationToken;

/// Counts the dropped guards; a guard is dropped when the task that owns it has ended.
#[derive(Clone, Default)]
struct DropCounter(Arc<AtomicUsize>);

struct DropGuard(DropCounter);

impl Drop for DropGuard {
    fn drop(&mut self) {
        self.0.0.fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against a task that is never restarted, or restarted forever, after it fails or panics.
#[test_case(false ; "error")]
#[test_case(true ; "panic")]
#[tokio::test(start_paused = true)]
async fn failing_task_is_restarted_a_limited_number_of_times(panics: bool) {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    let supervisor = Supervisor::new("test", CancellationToken::new()).task("failing", move || {
        counted.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(!panics, "test failure");
            anyhow::bail!("test failure")
        }
    });
    let err = supervisor.run().await.unwrap_err();
    assert!(err.to_string().contains("task failing failed 6 times"), "{err}");
    assert_eq!(runs.load(Ordering::SeqCst), 6);
}

/// Guards against tasks that keep running after their supervisor has failed.
#[tokio::test(start_paused = true)]
async fn other_tasks_are_aborted_when_the_supervisor_fails() {
    let drops = DropCounter::default();
    let watched = drops.clone();
    let supervisor = Supervisor::new("test", CancellationToken::new())
        .task("failing", || async { anyhow::bail!("test failure") })
        .task("endless", move || {
            let guard = DropGuard(watched.clone());
            async move {
                let _guard = guard;
                std::future::pending::<()>().await;
                Ok(())
            }
        });
    supervisor.run().await.unwrap_err();
    // The abort takes effect when the runtime next schedules the task.
    while drops.0.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a shutdown that aborts a graceful task at once, and against one that never ends.
#[test_case(10, true ; "ends by itself")]
#[test_case(1_000, false ; "is aborted after the grace period")]
#[tokio::test(start_paused = true)]
async fn graceful_task_gets_time_to_end(seconds: u64, ends_itself: bool) {
    let stop = CancellationToken::new();
    let finished = Arc::new(AtomicUsize::new(0));
    let (counted, stopped) = (Arc::clone(&finished), stop.clone());
    let supervisor = Supervisor::new("test", stop.clone()).graceful_task("slow", move || {
        let (counted, stopped) = (Arc::clone(&counted), stopped.clone());
        async move {
            stopped.cancelled().await;
            tokio::time::sleep(Duration::from_secs(seconds)).await;
            counted.fetch_add(1, Ordering::SeqCst);
            Ok(())
        }
    });
    let handle = tokio::spawn(supervisor.run());
    tokio::task::yield_now().await;
    stop.cancel();
    handle.await.unwrap().unwrap();
    assert_eq!(finished.load(Ordering::SeqCst) == 1, ends_itself);
}

/// Guards against a shutdown that waits for the backoff before a restart.
#[tokio::test(start_paused = true)]
async fn stop_ends_the_restart_backoff() {
    let stop = CancellationToken::new();
    let stopping = stop.clone();
    let supervisor = Supervisor::new("test", stop).task("failing", move || {
        stopping.cancel();
        async { anyhow::bail!("test failure") }
    });
    supervisor.run().await.unwrap();
}
