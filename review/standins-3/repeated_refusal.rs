//! Faulty endpoints write an earlier refusal once more, on another connection that was kept.
mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::*;

/// Work of one payment, ms.
const WORK: Duration = Duration::from_millis(60);
const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// Free slots of each endpoint; the other ones are taken by callers that this case does not play.
const SLOTS: usize = 2;
const ROUNDS: usize = 40;
/// Time after which the instances have shared out the budget of retries.
const SETTLE: Duration = Duration::from_secs(8);

#[derive(Default)]
struct Seen {
    /// Endpoints that ran each attempt.
    runs: BTreeMap<String, Vec<String>>,
    /// Payments that each endpoint runs now.
    running: BTreeMap<String, usize>,
    /// Endpoints that have refused a request and have not repeated that refusal yet.
    owed: BTreeSet<String>,
}

/// Serves one connection of an endpoint, which refuses what comes beyond its free slots. It writes a refusal once more, on another
/// connection that it has kept, at the point where the next response is expected.
fn serve(id: &str, stream: TcpStream, number: usize, seen: &Mutex<Seen>, record: &Record) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let mut responses = 0;
    while let Some(request) = read_message(&mut reader, false) {
        let attempt = request.attempt();
        let mut state = seen.lock().unwrap();
        let running = state.running.entry(id.to_owned()).or_default();
        if *running >= SLOTS {
            state.owed.insert(id.to_owned());
            drop(state);
            record.line(&format!("{id} connection {number}: refuses {attempt}, its slots are taken"));
            if writer.write_all(REFUSAL.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        *running += 1;
        let repeats = trouble() && responses > 0 && state.owed.remove(id);
        drop(state);
        if repeats {
            record.line(&format!("{id} connection {number}: writes its earlier refusal once more"));
            let _ = writer.write_all(REFUSAL.as_bytes());
        }
        record.line(&format!("{id} connection {number}: runs {attempt} ({})", request.first));
        seen.lock().unwrap().runs.entry(attempt.clone()).or_default().push(id.to_owned());
        thread::sleep(WORK);
        *seen.lock().unwrap().running.get_mut(id).unwrap() -= 1;
        let body = format!("{{\"paid\":\"{attempt}\"}}");
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s-{id}-{attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        responses += 1;
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn pay(addr: std::net::SocketAddr, attempt: &str, record: &Record) {
    record.line(&format!("client sends payment {attempt}"));
    let request = format!(
        "POST /pay/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n\
         Content-Length: 9\r\nConnection: close\r\n\r\namount=20"
    );
    match exchange(addr, &request, Duration::from_secs(4)) {
        Some(answer) => record.line(&format!("client gets {} to payment {attempt}", answer.status())),
        None => record.line(&format!("client gets no answer to payment {attempt}")),
    }
}

fn run(dir: &Path, record: &Arc<Record>) -> (i32, String) {
    let store = Store::start();
    let routes = [route("pay", "non_idempotent", "balie", 3_000, 2, "")];
    store.put("op/config", &config(7, &routes, &["balie"]));
    let seen = Arc::new(Mutex::new(Seen::default()));
    for id in ["i-a", "i-b"] {
        let (seen, record) = (Arc::clone(&seen), Arc::clone(record));
        start_endpoint(&store, Entry::ready(id, "balie"), move |stream, number| {
            serve(id, stream, number, &seen, &record);
        });
    }
    let instance = Instance::start(dir, "edge-fl-gent-1", &store);
    if !instance.wait_ready() {
        return (2, "the instance was not ready".into());
    }
    thread::sleep(SETTLE);
    for round in 0..ROUNDS {
        // Several at once, so that the endpoints refuse some, then single ones on connections that were kept.
        let pair: Vec<_> = (0..6)
            .map(|index| {
                let (record, addr) = (Arc::clone(record), instance.callers);
                thread::spawn(move || pay(addr, &format!("p{round}-{index}"), &record))
            })
            .collect();
        for thread in pair {
            let _ = thread.join();
        }
        for index in 6..9 {
            pay(instance.callers, &format!("p{round}-{index}"), record);
        }
    }
    let seen = seen.lock().unwrap();
    if seen.runs.len() < ROUNDS {
        return (2, format!("only {} payments ran", seen.runs.len()));
    }
    let twice: Vec<_> = seen.runs.iter().filter(|(_, endpoints)| endpoints.len() > 1).collect();
    for (attempt, endpoints) in &twice {
        record.line(&format!("payment {attempt} ran more than once: {}", endpoints.join(", ")));
    }
    match twice.len() {
        0 => (0, "TWICE held: no payment ran more than once".into()),
        count => (1, format!("TWICE broken: {count} payments ran more than once")),
    }
}

fn main() {
    let (record, dir) = (Record::open("11"), temp_dir("11"));
    let (code, text) = run(&dir, &record);
    finish(&record, &dir, code, &text)
}
