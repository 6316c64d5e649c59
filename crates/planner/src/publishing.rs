use carobwick_core::ConfigRecord;
use carobwick_core::EventKind;
use carobwick_core::Publish;
use carobwick_core::PublishEvent;
use carobwick_core::PublishOutcome;
use carobwick_core::PublishStep;
use carobwick_runtime::Error;
use carobwick_runtime::MergeOutcome;
use carobwick_runtime::Precondition;
use carobwick_runtime::WriteOutcome;

use crate::Context;
use crate::archive;
use crate::key_value;

/// Carries out a publish; an accepted manifest comes into force in this process.
pub(crate) async fn run(context: &Context, mut publish: Publish) -> PublishOutcome {
    let mut step = PublishStep::Read;
    loop {
        let event = match step {
            PublishStep::Read => read(context).await,
            PublishStep::Write { expect, record, replaced } => {
                if let Some(replaced) = replaced {
                    archive::store(context, &replaced).await;
                }
                write(context, expect, &record).await
            }
            PublishStep::Pause(pause) => {
                tokio::time::sleep(pause).await;
                PublishEvent::Resumed
            }
            PublishStep::Done(outcome) => {
                apply_outcome(context, &outcome);
                return outcome;
            }
        };
        let (own, views) = context.node.read(|state| (state.config.clone(), state.views.clone()));
        step = publish.next(event, own.as_ref(), &views);
    }
}

async fn read(context: &Context) -> PublishEvent {
    match key_value::read_config(context).await {
        Ok(stored) => PublishEvent::Read(stored),
        Err(err) => {
            tracing::warn!("kv: {} not read: {err}", key_value::MANIFEST_KEY);
            PublishEvent::Failed
        }
    }
}

async fn write(context: &Context, expected_revision: Option<u64>, record: &ConfigRecord) -> PublishEvent {
    let value = match serde_json::to_vec(record) {
        Ok(value) => value,
        Err(err) => {
            tracing::error!("planner: manifest record can't be serialized as JSON: {err}");
            return PublishEvent::Failed;
        }
    };
    let precondition = expected_revision.map_or(Precondition::Absent, Precondition::Revision);
    let outcome = context.key_value.put_if(key_value::MANIFEST_KEY, precondition, &value, None).await;
    match key_value::record_reachability(context, outcome) {
        Ok(WriteOutcome::Written(_)) => PublishEvent::Written,
        Ok(WriteOutcome::Conflict(_)) => PublishEvent::Refused,
        Err(err) => {
            tracing::warn!("kv: no reply to the write of {}: {err}", key_value::MANIFEST_KEY);
            // A reply that can't be parsed leaves the outcome as uncertain as a lost reply.
            let may_be_written = err.is_ambiguous() || matches!(err, Error::Codec(_));
            if may_be_written { PublishEvent::Lost } else { PublishEvent::Failed }
        }
    }
}

fn apply_outcome(context: &Context, outcome: &PublishOutcome) {
    match outcome {
        PublishOutcome::Accepted(version, record) => {
            context.timeline.add(EventKind::Config, format!("version {version} published"));
            let change = context.node.update(|state| state.adopt(ConfigRecord::clone(record)));
            let merged = MergeOutcome { changes: change.into_iter().collect(), conflicting_version: None };
            context.record_merge(&merged, "the operator API");
            context.wake.notify_one();
        }
        outcome => {
            let text = format!("publish not accepted: {outcome:?}");
            tracing::warn!("planner: {text}");
            context.timeline.add(EventKind::Config, text);
        }
    }
}
