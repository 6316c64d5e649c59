use std::fmt::Write;

use carobwick_core::Event;
use carobwick_core::StatusReport;
use carobwick_core::Version;

/// Puts the events of several processes into one order: by time, then by process and its own order.
pub(crate) fn sort(events: &mut [Event]) {
    events.sort_by(|a, b| {
        let key = |event: &Event| (event.at, event.instance.clone(), event.process.clone(), event.sequence);
        key(a).cmp(&key(b))
    });
}

/// Renders events, one a line.
pub(crate) fn timeline(events: &[Event]) -> String {
    let mut out = String::new();
    for event in events {
        let process = event.process.trim_start_matches("carobwick-");
        let kind = format!("{:?}", event.kind).to_lowercase();
        line(
            &mut out,
            format_args!("{} {} {process} {kind}: {}", clock(event.at), event.instance, event.detail),
        );
    }
    out
}

/// Renders the state of the deployment.
pub(crate) fn status(report: &StatusReport) -> String {
    let mut out = String::new();
    let key_value = if report.key_value { "answers" } else { "does not answer" };
    line(
        &mut out,
        format_args!(
            "version {} in force at {} ({}); key-value service {key_value}",
            version(report.version),
            report.instance,
            report.zone
        ),
    );
    for zone in &report.zones {
        let (instances, endpoints) = (
            report.instances.iter().filter(|instance| instance.zone == zone.zone),
            report.endpoints.iter().filter(|endpoint| endpoint.zone == zone.zone),
        );
        line(
            &mut out,
            format_args!(
                "\nzone {}: leader {} (term {}), view {}",
                zone.zone, zone.leader, zone.term, zone.view
            ),
        );
        for instance in instances {
            let state = if instance.live { "live" } else { "leaving" };
            line(
                &mut out,
                format_args!(
                    "  instance {}: {state}, version {}",
                    instance.instance,
                    version(instance.version)
                ),
            );
        }
        for endpoint in endpoints {
            let state = format!("{:?}", endpoint.state).to_lowercase();
            let drained = if endpoint.drained { ", drained" } else { "" };
            line(
                &mut out,
                format_args!(
                    "  endpoint {} ({}): {state}{drained}, {} resident, {} running, {} queued",
                    endpoint.endpoint,
                    endpoint.service,
                    endpoint.resident,
                    endpoint.load.running,
                    endpoint.load.queued
                ),
            );
        }
    }
    if !report.drains.is_empty() {
        line(&mut out, format_args!("\ndrained:"));
    }
    for target in &report.drains {
        line(&mut out, format_args!("  {target}"));
    }
    out
}

fn version(version: Option<Version>) -> String {
    version.map_or_else(|| "unknown".to_owned(), |version| version.to_string())
}

/// Renders the time of day in UTC from microseconds since the Unix epoch.
fn clock(at: u64) -> String {
    let (seconds, micros) = (at / 1_000_000 % 86_400, at % 1_000_000);
    format!("{:02}:{:02}:{:02}.{micros:06}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}

fn line(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "{text}");
}
