use std::path::Path;

use carobwick_core::Event;
use carobwick_core::Manifest;
use carobwick_core::PublishReply;
use carobwick_core::StatusReport;
use carobwick_core::Version;
use serde::Serialize;

use crate::client::Client;
use crate::client::Failure;
use crate::options::Command;
use crate::text;

/// Carries out a command and returns what to print.
pub(crate) async fn run(client: &Client, command: &Command) -> Result<String, Failure> {
    match command {
        Command::Publish { expect, file } => publish(client, file, *expect).await,
        Command::Status { json } => status(client, *json).await,
        Command::Timeline { json } => timeline(client, *json).await,
        Command::Check { file } => check(file),
    }
}

async fn publish(client: &Client, file: &Path, expect: Option<Version>) -> Result<String, Failure> {
    let manifest = read(file)?;
    let path = match expect {
        Some(version) => format!("/admin/manifest?expect={version}"),
        None => "/admin/manifest".to_owned(),
    };
    let reply: PublishReply = client.post(&path, &manifest).await?;
    Ok(format!("published version {}\n", reply.version))
}

async fn status(client: &Client, json: bool) -> Result<String, Failure> {
    let report: StatusReport = client.get("/admin/status").await?;
    if json { to_json(&report) } else { Ok(text::status(&report)) }
}

async fn timeline(client: &Client, json: bool) -> Result<String, Failure> {
    let mut events = Vec::new();
    let mut answered = false;
    for url in client.urls()? {
        match client.get_from::<Vec<Event>>(url, "/admin/timeline").await {
            Ok(found) => {
                answered = true;
                events.extend(found);
            }
            Err(err) => eprintln!("carobwick: {url}: {err}"),
        }
    }
    if !answered {
        return Err(Failure::Unreachable("no address answered".to_owned()));
    }
    text::sort(&mut events);
    if json { events.iter().map(to_json).collect() } else { Ok(text::timeline(&events)) }
}

fn check(file: &Path) -> Result<String, Failure> {
    let manifest = read(file)?;
    let (models, adapters) = (manifest.models.len(), manifest.adapters.len());
    Ok(format!("{}: {models} models and {adapters} adapters, no errors\n", file.display()))
}

fn read(file: &Path) -> Result<Manifest, Failure> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|err| Failure::Usage(format!("{name}: {err}")))?;
    Manifest::from_json(&text).map_err(|err| Failure::Usage(format!("{name}: {err}")))
}

fn to_json<T: Serialize>(value: &T) -> Result<String, Failure> {
    let text = serde_json::to_string(value).map_err(|err| Failure::Usage(err.to_string()))?;
    Ok(text + "\n")
}
