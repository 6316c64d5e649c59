use std::path::Path;
use std::time::Duration;

use carobwick_core::DrainReply;
use carobwick_core::DrainRequest;
use carobwick_core::DrainTarget;
use carobwick_core::Event;
use carobwick_core::Explanation;
use carobwick_core::InstanceReport;
use carobwick_core::Manifest;
use carobwick_core::ModelId;
use carobwick_core::PublishReply;
use carobwick_core::RollbackRequest;
use carobwick_core::StatusReport;
use carobwick_core::Version;
use serde::Serialize;
use tokio::time::Instant;

use crate::client::Client;
use crate::client::Failure;
use crate::options::Command;
use crate::options::TargetKind;
use crate::text;

/// Longest wait for an accepted manifest to be in force everywhere; 6 s are expected.
const APPLY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Runs a command and returns its output.
pub(crate) async fn run(client: &Client, command: &Command) -> Result<String, Failure> {
    match command {
        Command::Publish { expect, wait, json, file } => {
            let reply = publish(client, file, *expect).await?;
            finish_publish(client, &reply, *wait, *json).await
        }
        Command::Rollback { wait, json, version } => {
            let request = RollbackRequest { version: *version };
            let reply: PublishReply = client.post("/admin/rollback", &request).await?;
            finish_publish(client, &reply, *wait, *json).await
        }
        Command::Drain { json, kind, id } => drain(client, *kind, id, true, *json).await,
        Command::Undrain { json, kind, id } => drain(client, *kind, id, false, *json).await,
        Command::Explain { json, model } => explain(client, model, *json).await,
        Command::Status { json } => status(client, *json).await,
        Command::Timeline { json } => timeline(client, *json).await,
        Command::Check { file } => check(file),
    }
}

async fn publish(client: &Client, file: &Path, expect: Option<Version>) -> Result<PublishReply, Failure> {
    let manifest = read_manifest(file)?;
    let path = match expect {
        Some(version) => format!("/admin/manifest?expect={version}"),
        None => "/admin/manifest".to_owned(),
    };
    client.post(&path, &manifest).await
}

async fn finish_publish(
    client: &Client,
    reply: &PublishReply,
    wait: bool,
    json: bool,
) -> Result<String, Failure> {
    if wait {
        wait_in_force(client, reply.version).await?;
    }
    if json {
        return to_json(reply);
    }
    let suffix = if wait { ", in force on all live instances" } else { "" };
    Ok(format!("published version {}{suffix}\n", reply.version))
}

/// Polls the status until all live instances have the version in force.
async fn wait_in_force(client: &Client, version: Version) -> Result<(), Failure> {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    loop {
        let report: StatusReport = client.get("/admin/status").await?;
        let behind: Vec<&InstanceReport> = report
            .instances
            .iter()
            .filter(|instance| instance.live && instance.version < Some(version))
            .collect();
        // The report may list no instances, so the version of the planner that responded is checked too.
        if behind.is_empty() && report.version >= Some(version) {
            return Ok(());
        }
        if Instant::now() >= deadline {
            let names: Vec<String> = behind.iter().map(|instance| instance.instance.to_string()).collect();
            let text =
                format!("version {version} is published, but not in force yet at {}", names.join(", "));
            return Err(Failure::Pending(text));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn drain(
    client: &Client,
    kind: TargetKind,
    id: &str,
    drained: bool,
    json: bool,
) -> Result<String, Failure> {
    let usage_error = |err: carobwick_core::Error| Failure::Usage(err.to_string());
    let target = match kind {
        TargetKind::Endpoint => DrainTarget::Endpoint(id.parse().map_err(usage_error)?),
        TargetKind::Instance => DrainTarget::Instance(id.parse().map_err(usage_error)?),
    };
    let reply: DrainReply = client.post("/admin/drains", &DrainRequest { target, drained }).await?;
    if json { to_json(&reply) } else { Ok(text::drain(&reply)) }
}

async fn explain(client: &Client, model: &ModelId, json: bool) -> Result<String, Failure> {
    let explanation: Explanation = client.get(&format!("/admin/explain/{model}")).await?;
    if json { to_json(&explanation) } else { Ok(text::explanation(&explanation)) }
}

async fn status(client: &Client, json: bool) -> Result<String, Failure> {
    let report: StatusReport = client.get("/admin/status").await?;
    if json { to_json(&report) } else { Ok(text::status(&report)) }
}

async fn timeline(client: &Client, json: bool) -> Result<String, Failure> {
    let mut events = Vec::new();
    let mut responded = false;
    for url in client.urls()? {
        match client.get_from::<Vec<Event>>(url, "/admin/timeline").await {
            Ok(received) => {
                responded = true;
                events.extend(received);
            }
            Err(err) => eprintln!("carobwick: {url}: {err}"),
        }
    }
    if !responded {
        return Err(Failure::Unreachable("no address responded".to_owned()));
    }
    text::sort_events(&mut events);
    if json { events.iter().map(to_json).collect() } else { Ok(text::timeline(&events)) }
}

fn check(file: &Path) -> Result<String, Failure> {
    let manifest = read_manifest(file)?;
    let (models, adapters) = (manifest.models.len(), manifest.adapters.len());
    Ok(format!("{}: {models} models and {adapters} adapters, no errors\n", file.display()))
}

fn read_manifest(file: &Path) -> Result<Manifest, Failure> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|err| Failure::Usage(format!("{name}: {err}")))?;
    Manifest::from_json(&text).map_err(|err| Failure::Usage(format!("{name}: {err}")))
}

fn to_json<T: Serialize>(value: &T) -> Result<String, Failure> {
    let text = serde_json::to_string(value).map_err(|err| Failure::Usage(err.to_string()))?;
    Ok(text + "\n")
}
