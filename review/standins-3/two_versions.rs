//! Streams that a process has begun at a new software version go on at the old one after the process has ended.
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Rounds, each with a service of its own.
const ROUNDS: usize = 8;
const STREAMS: usize = 24;
const EVENTS: usize = 40;
const GAP: Duration = Duration::from_millis(40);

/// Serves streams whose events carry the version that wrote them.
fn serve(id: &str, version: &str, stream: TcpStream, record: &Record) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, false) {
        let attempt = request.attempt();
        let first = request.header("last-event-id").and_then(|id| id.parse().ok()).map_or(1, |id: usize| id + 1);
        record.line(&format!("{id} ({version}) runs {attempt} from event {first}"));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
             X-Server-Signature: s-{id}-{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in first..=EVENTS {
            thread::sleep(GAP);
            let event = format!("id: {number}\ndata: {version}\n\n");
            if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return;
            }
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// What a caller has received of its stream.
#[derive(Default, Clone)]
struct Received {
    last: usize,
    versions: BTreeSet<String>,
    /// Attempt that brought the first event.
    began: String,
    is_complete: bool,
}

/// Sends one attempt and reads its events until the stream ends or breaks; returns the status.
fn attempt(addr: SocketAddr, path: &str, attempt: &str, received: &mut Received) -> u16 {
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, Duration::from_secs(1)) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let resumes = if received.last > 0 {
        format!("Last-Event-Id: {}\r\nResumes: {}\r\n", received.last, received.began)
    } else {
        String::new()
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000\r\n{resumes}\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    if stream.write_all(request.as_bytes()).is_err() {
        return 0;
    }
    let mut reader = BufReader::new(stream);
    let Some(head) = read_head(&mut reader) else { return 0 };
    if head.status() != 200 {
        return head.status();
    }
    let mut line = String::new();
    let mut id = 0;
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(read) if read > 0 => {}
            _ => return 200,
        }
        let text = line.trim_end();
        if let Some(number) = text.strip_prefix("id: ") {
            id = number.parse().unwrap_or(0);
        } else if let Some(version) = text.strip_prefix("data: ") {
            if received.last == 0 {
                received.began = attempt.to_owned();
            }
            received.last = id;
            received.versions.insert(version.to_owned());
        } else if text == "0" {
            received.is_complete = true;
            return 200;
        }
    }
}

/// A caller's stream: the first attempt goes to `first`, later ones to `second`.
fn call(first: SocketAddr, second: SocketAddr, path: &str, name: &str, record: &Record) -> Received {
    let mut received = Received::default();
    for try_number in 0..3 {
        let addr = if try_number == 0 { first } else { second };
        let id = format!("{name}-{try_number}");
        let before = received.last;
        let status = attempt(addr, path, &id, &mut received);
        let versions: Vec<_> = received.versions.iter().cloned().collect();
        record.line(&format!(
            "client {id}: {status}, events {} to {}, complete: {}, versions so far: {}",
            before + 1,
            received.last,
            received.is_complete,
            versions.join(" ")
        ));
        if received.is_complete {
            break;
        }
        if try_number > 0 {
            thread::sleep(Duration::from_millis(300));
        }
    }
    received
}

fn run(dir: &Path, record: &Arc<Record>) -> (i32, String) {
    let store = Store::start();
    let names: Vec<String> = (0..ROUNDS).map(|round| format!("llm{round}")).collect();
    let routes: Vec<String> =
        names.iter().map(|name| route(name, "streaming", name, 8_000, 2, ",\"resumable\":true,\"targetGapMs\":600")).collect();
    store.put("op/config", &config(7, &routes, &names.iter().map(String::as_str).collect::<Vec<_>>()));
    for name in &names {
        let (id, shared) = (format!("i-{name}-old"), Arc::clone(record));
        start_endpoint(&store, Entry::ready(&id.clone(), name), move |stream, _| serve(&id, "v1", stream, &shared));
    }
    let steady = Instance::start(dir, "edge-fl-gent-1", &store);
    if !steady.wait_ready() {
        return (2, "the first instance was not ready".into());
    }
    // Until the instance leads, and as long again.
    thread::sleep(Duration::from_secs(6));
    let mixed = Arc::new(Mutex::new(BTreeMap::new()));
    let (mut begun, mut complete) = (0, 0);
    for name in &names {
        let (id, shared) = (format!("i-{name}-new"), Arc::clone(record));
        record.line(&format!("{id} of version v2 registers, and another instance starts"));
        start_endpoint(&store, Entry { version: "v2".into(), ..Entry::ready(&id.clone(), name) }, move |stream, _| {
            serve(&id, "v2", stream, &shared);
        });
        let mut started = Instance::start(dir, &format!("edge-fl-gent-{name}"), &store);
        if !started.wait_ready() {
            return (2, "an instance was not ready".into());
        }
        record.line(&format!("instance {} is ready", started.name));
        let callers: Vec<_> = (0..STREAMS)
            .map(|number| {
                let (first, second) = (started.callers, steady.callers);
                let (path, stream) = (format!("/{name}/2f"), format!("{name}-{number}"));
                let record = Arc::clone(record);
                thread::spawn(move || (stream.clone(), call(first, second, &path, &stream, &record)))
            })
            .collect();
        let start = Instant::now();
        if trouble() {
            thread::sleep(Duration::from_millis(120).saturating_sub(start.elapsed()));
            record.line(&format!("instance {} is killed", started.name));
            started.kill();
        }
        for caller in callers {
            let Ok((stream, received)) = caller.join() else { continue };
            begun += usize::from(received.last > 0);
            complete += usize::from(received.is_complete);
            if received.versions.len() > 1 {
                mixed.lock().unwrap().insert(stream, received.versions);
            }
        }
    }
    record.line(&format!("{begun} streams began, {complete} are complete"));
    let mixed = mixed.lock().unwrap();
    for (stream, versions) in mixed.iter() {
        record.line(&format!("stream {stream} holds events of {versions:?}"));
    }
    match mixed.len() {
        _ if begun < STREAMS => (2, "too few streams began".into()),
        0..=2 => (0, format!("ORDER held: {} streams hold events of two versions", mixed.len())),
        count => (1, format!("ORDER broken: {count} streams hold events of two versions")),
    }
}

fn main() {
    let (record, dir) = (Record::open("12"), temp_dir("12"));
    let (code, text) = run(&dir, &record);
    finish(&record, &dir, code, &text)
}
