//! Streams that a young process has begun are refused everywhere else after it has ended, while two versions serve.
mod common;

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::*;

const ROUNDS: usize = 6;
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
    /// Number of attempts to go on.
    taken_up: usize,
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
        received.taken_up += usize::from(before > 0);
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
    let routes = [route("chat", "streaming", "llm", 8_000, 2, ",\"resumable\":true,\"targetGapMs\":600")];
    store.put("op/config", &config(7, &routes, &["llm"]));
    // Two endpoints of each version serve from the beginning to the end.
    for (id, version) in [("i-1", "v1"), ("i-2", "v1"), ("i-3", "v2"), ("i-4", "v2")] {
        let shared = Arc::clone(record);
        start_endpoint(&store, Entry { version: version.into(), ..Entry::ready(id, "llm") }, move |stream, _| {
            serve(id, version, stream, &shared);
        });
    }
    let steady = Instance::start(dir, "edge-fl-gent-1", &store);
    if !steady.wait_ready() {
        return (2, "the first instance was not ready".into());
    }
    // Until the instance leads, and as long again.
    thread::sleep(Duration::from_secs(6));
    let (mut taken_up, mut gone_on, mut new, mut new_begun) = (0, 0, 0, 0);
    for round in 0..ROUNDS {
        let mut started = Instance::start(dir, &format!("edge-fl-gent-{}", round + 2), &store);
        if !started.wait_ready() {
            return (2, "an instance was not ready".into());
        }
        record.line(&format!("instance {} is ready", started.name));
        let spawn = |kind: &'static str, first: SocketAddr, number: usize| {
            let (second, record) = (steady.callers, Arc::clone(record));
            thread::spawn(move || (kind, call(first, second, "/chat/2f", &format!("{kind}{round}-{number}"), &record)))
        };
        let mut callers: Vec<_> = (0..STREAMS).map(|number| spawn("young", started.callers, number)).collect();
        thread::sleep(Duration::from_millis(150));
        if trouble() {
            record.line(&format!("instance {} is killed", started.name));
            started.kill();
        }
        // New streams come to the instance that goes on, at the same time as those that are taken up.
        callers.extend((0..STREAMS).map(|number| spawn("new", steady.callers, number)));
        for caller in callers {
            let Ok((kind, received)) = caller.join() else { continue };
            if kind == "new" {
                new += 1;
                new_begun += usize::from(received.last > 0);
            } else if received.last > 0 && (!trouble() || received.taken_up > 0) {
                taken_up += 1;
                gone_on += usize::from(received.is_complete);
            }
        }
    }
    record.line(&format!("{gone_on} of {taken_up} streams go on, {new_begun} of {new} new ones begin"));
    if taken_up < 12 || new_begun * 2 < new {
        return (2, "too few streams were taken up, or new ones did not begin".into());
    }
    // Without the disruption the streams are whole, and none is taken up.
    if gone_on * new * 2 < new_begun * taken_up {
        return (1, format!("LOST broken: {gone_on} of {taken_up} streams that were taken up go on, {new_begun} of {new} new ones begin"));
    }
    (0, format!("LOST held: {gone_on} of {taken_up} streams go on, {new_begun} of {new} new ones begin"))
}

fn main() {
    let (record, dir) = (Record::open("15"), temp_dir("15"));
    let (code, text) = run(&dir, &record);
    finish(&record, &dir, code, &text)
}
