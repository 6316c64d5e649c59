use std::rc::Rc;
use std::time::Duration;

use carobwick_core::gateway::ServedVersion;
use carobwick_core::gateway::VersionRecord;
use carobwick_runtime::now;
use tokio::time::sleep;

use crate::Result;
use crate::Snapshot;
use crate::Store;
use crate::coordinator::Coordinator;
use crate::state::State;

/// Interval at which the leader writes changed versions to the store. An instance that starts sees the versions that serve in
/// the list of endpoints, so a version needs to be written only before its last endpoint ends.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Writes the software versions that serve or have served lately to the store while this instance is the leader, until the
/// task is aborted.
///
/// An instance that starts finds in the list of endpoints only the versions that serve. By that alone it would take a stream
/// whose version has just left for one of the version that is there.
pub(crate) async fn keep(state: Rc<State>, coordinator: Rc<Coordinator>, store: Rc<dyn Store>) {
    let mut written = None;
    loop {
        state.wait_list_known().await;
        if !coordinator.is_leading() {
            coordinator.wait_leading().await;
            written = None;
        }
        written = match save(&state, store.as_ref(), written).await {
            Ok(written) => Some(written),
            Err(err) => {
                tracing::info!("leader: can't keep the versions of endpoints: {err}");
                None
            }
        };
        sleep(STORE_INTERVAL).await;
    }
}

/// Adds the versions in the store to those that this instance knows, when it starts.
pub(crate) async fn load(state: &State, store: &dyn Store) -> Result<()> {
    let stored = store.served_versions().await?;
    receive(state, stored);
    Ok(())
}

/// Reads the versions again, since those that were found at the start may lack some.
pub(crate) async fn reload(state: &State, store: &dyn Store) -> Result<()> {
    let stored = store.latest_served_versions().await?;
    receive(state, stored);
    Ok(())
}

fn receive(state: &State, stored: Snapshot<VersionRecord>) {
    if stored.value.is_complete(stored.revision.era()) {
        state.set_history_known();
    }
    state.endpoints.borrow_mut().record_served_versions(stored.value.versions, now());
}

/// Writes the versions that this instance knows if they are others than those that were written last, or if those were written
/// before the store has returned from an older copy; returns what is written now.
async fn save(
    state: &State,
    store: &dyn Store,
    written: Option<Snapshot<VersionRecord>>,
) -> Result<Snapshot<VersionRecord>> {
    let current = written.filter(|written| written.revision.era() == store.era());
    let written = if let Some(current) = current {
        current
    } else {
        let stored = store.latest_served_versions().await?;
        receive(state, stored.clone());
        stored
    };
    let era = written.revision.era();
    let versions = state.endpoints.borrow().served_versions(now());
    let is_written =
        written.value.era == Some(era) && ServedVersion::is_same_set(&versions, &written.value.versions);
    if !state.knows_history() || is_written {
        return Ok(written);
    }
    let revision = store.write_served_versions(&versions, written.revision).await?;
    tracing::info!("leader: {} versions of endpoints are written to the store", versions.len());
    Ok(Snapshot { value: VersionRecord { versions, era: Some(era) }, revision })
}
