use std::fmt::Write;

use carobwick_core::DrainReply;
use carobwick_core::EndpointId;
use carobwick_core::Event;
use carobwick_core::Explanation;
use carobwick_core::StatusReport;
use carobwick_core::Version;

/// Sorts the events of several processes by time, then by process.
///
/// Events of one process stay in order even if its clock was set back in between.
pub(crate) fn sort_events(events: &mut [Event]) {
    events.sort_by(|a, b| {
        let key = |event: &Event| (event.instance.clone(), event.process.clone(), event.sequence);
        key(a).cmp(&key(b))
    });
    let mut adjusted_times = Vec::with_capacity(events.len());
    for (index, event) in events.iter().enumerate() {
        let previous = index.checked_sub(1).map(|previous| (&events[previous], adjusted_times[previous]));
        let same_process =
            previous.filter(|(other, _)| other.instance == event.instance && other.process == event.process);
        adjusted_times.push(same_process.map_or(event.at, |(_, time)| event.at.max(time)));
    }
    let mut order: Vec<usize> = (0..events.len()).collect();
    order.sort_by_key(|index| (adjusted_times[*index], *index));
    let sorted: Vec<Event> = order.into_iter().map(|index| events[index].clone()).collect();
    events.clone_from_slice(&sorted);
}

/// Renders the reply to a drain.
pub(crate) fn drain(reply: &DrainReply) -> String {
    let state = if reply.mark.drained { "drained" } else { "in use" };
    let durable = if reply.durable {
        "stored"
    } else {
        "not stored yet: the key-value service does not answer, the zone's leader stores it later"
    };
    format!("{}: {state} ({durable})\n", reply.target)
}

/// Renders where a model is resident and why.
pub(crate) fn explanation(explanation: &Explanation) -> String {
    let mut out = String::new();
    let mut parts = Vec::new();
    if let Some(base) = &explanation.base {
        parts.push(format!("adapter of {base}"));
    }
    if let Some(home) = &explanation.home {
        parts.push(format!("home zone {home}"));
    }
    if !explanation.declared {
        parts.push("not declared by the manifest in force".to_owned());
    }
    if explanation.retiring {
        parts.push("retiring, takes no new requests".to_owned());
    }
    push_line(&mut out, format_args!("{}: {}", explanation.model, parts.join("; ")));
    for zone in &explanation.zones {
        let names: Vec<&str> = zone.resident.iter().map(EndpointId::as_str).collect();
        let location = if names.is_empty() { "not resident".to_owned() } else { names.join(", ") };
        push_line(&mut out, format_args!("  zone {}: {location}", zone.zone));
        if let Some(reason) = &zone.reason {
            push_line(&mut out, format_args!("    why: {reason}"));
        }
        if let Some(blocked) = &zone.blocked {
            push_line(&mut out, format_args!("    held back: {blocked}"));
        }
    }
    out
}

/// Renders events, one per line.
pub(crate) fn timeline(events: &[Event]) -> String {
    let mut out = String::new();
    for event in events {
        let process = event.process.trim_start_matches("carobwick-");
        let kind = format!("{:?}", event.kind).to_lowercase();
        push_line(
            &mut out,
            format_args!("{} {} {process} {kind}: {}", time_of_day(event.at), event.instance, event.detail),
        );
    }
    out
}

/// Renders the state of the deployment.
pub(crate) fn status(report: &StatusReport) -> String {
    let mut out = String::new();
    let key_value = if report.key_value { "answers" } else { "does not answer" };
    push_line(
        &mut out,
        format_args!(
            "version {} in force at {} ({}); key-value service {key_value}",
            version_text(report.version),
            report.instance,
            report.zone
        ),
    );
    for zone in &report.zones {
        let (instances, endpoints) = (
            report.instances.iter().filter(|instance| instance.zone == zone.zone),
            report.endpoints.iter().filter(|endpoint| endpoint.zone == zone.zone),
        );
        push_line(
            &mut out,
            format_args!(
                "\nzone {}: leader {} (term {}), view {}",
                zone.zone, zone.leader, zone.term, zone.view
            ),
        );
        for instance in instances {
            let state = if instance.live { "live" } else { "leaving" };
            push_line(
                &mut out,
                format_args!(
                    "  instance {}: {state}, version {}",
                    instance.instance,
                    version_text(instance.version)
                ),
            );
        }
        for endpoint in endpoints {
            let state = format!("{:?}", endpoint.state).to_lowercase();
            let drained = if endpoint.drained { ", drained" } else { "" };
            push_line(
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
        push_line(&mut out, format_args!("\ndrained:"));
    }
    for target in &report.drains {
        push_line(&mut out, format_args!("  {target}"));
    }
    out
}

fn version_text(version: Option<Version>) -> String {
    version.map_or_else(|| "unknown".to_owned(), |version| version.to_string())
}

/// Renders `at`, in microseconds since the Unix epoch, as the time of day in UTC.
fn time_of_day(at: u64) -> String {
    let (seconds, micros) = (at / 1_000_000 % 86_400, at % 1_000_000);
    format!("{:02}:{:02}:{:02}.{micros:06}", seconds / 3_600, seconds / 60 % 60, seconds % 60)
}

fn push_line(out: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string does not fail.
    let _ = writeln!(out, "{text}");
}
