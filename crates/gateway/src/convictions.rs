use std::rc::Rc;

use carobwick_core::gateway::Conviction;
use carobwick_core::gateway::Loss;
use carobwick_core::gateway::Suspect;
use carobwick_core::gateway::Verdict;
use carobwick_runtime::now;
use tokio::sync::mpsc;

use crate::Store;
use crate::backoff::Backoff;
use crate::state::State;

/// Attempts to write a conviction. Without the store, the instances still tell each other.
const WRITE_ATTEMPTS: u32 = 8;

/// Reads the convictions in the store, and then writes those that are sent to `convicted`, until the task is aborted.
///
/// The store keeps them for the case that all instances end at once.
pub(crate) async fn keep(
    state: Rc<State>,
    store: Rc<dyn Store>,
    mut convicted: mpsc::UnboundedReceiver<Suspect>,
) {
    load(&state, store.as_ref()).await;
    while let Some(suspect) = convicted.recv().await {
        let conviction = state.suspects.borrow().conviction(suspect, now());
        if let Some(conviction) = conviction {
            save(store.as_ref(), &conviction).await;
        }
    }
}

async fn load(state: &State, store: &dyn Store) {
    let mut backoff = Backoff::new();
    loop {
        match store.convictions().await {
            Ok(convictions) => {
                for loss in convictions.iter().flat_map(|conviction| &conviction.losses) {
                    state.receive_loss_report(loss);
                }
                return;
            }
            Err(err) => tracing::info!("gateway: can't read the convictions: {err}"),
        }
        backoff.wait().await;
    }
}

async fn save(store: &dyn Store, conviction: &Conviction) {
    let mut backoff = Backoff::new();
    for _ in 0..WRITE_ATTEMPTS {
        match store.add_conviction(conviction.clone()).await {
            Ok(()) => return,
            Err(err) => {
                tracing::info!("gateway: can't write the conviction of {}: {err}", conviction.suspect);
            }
        }
        backoff.wait().await;
    }
}

impl State {
    /// Has the suspects of a loss that are convicted now written to the store.
    pub fn keep_convicted(&self, loss: &Loss) {
        for suspect in &loss.suspects {
            if self.verdict(&[*suspect]) == Verdict::Convicted {
                // The receiver ends only with the process.
                let _closed = self.convicted.send(*suspect);
            }
        }
    }
}
