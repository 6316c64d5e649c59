//! One endpoint of three answers with interim heads without end; callers of another service wait.
mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// `timeoutMs` of the payments, at a service of sound endpoints, and the time after it within which an answer is due.
const TIMEOUT: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_millis(500);
/// Longest time for which a caller waits for a payment.
const PATIENCE: Duration = Duration::from_millis(8_000);
/// `timeoutMs` of the streams, at the service with the faulty endpoint.
const STREAM_TIMEOUT: Duration = Duration::from_millis(15_000);
/// Streams that come at the same moment.
const STREAMS: usize = 12;
const STREAM_EVENTS: usize = 40;
const EVENT_GAP: Duration = Duration::from_millis(50);
/// Bytes a second that the link of the faulty endpoint's machine carries (`linkMbps` 1,000).
const LINK_BYTES: f64 = 125e6;
const PIECE_BYTES: usize = 64 << 10;
const INTERIM: &str = "HTTP/1.1 100 \r\n\r\n";
const CALM: Duration = Duration::from_secs(3);
const LOAD_TIME: Duration = Duration::from_secs(25);
const PAYMENT_GAP: Duration = Duration::from_millis(50);
const WORK: Duration = Duration::from_millis(60);

/// Share of a core that the machine has (`limits.cpuFraction`), as a cap in each tenth of a second.
const CPU_FRACTION: f64 = 0.25;
const CAP_PERIOD: Duration = Duration::from_millis(100);
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Returns the processor time that the process has used so far.
fn used_cpu(pid: u32) -> Duration {
    let mut used = 0;
    for task in std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten() {
        let text = std::fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        used += text.split_whitespace().next().and_then(|nanos| nanos.parse::<u64>().ok()).unwrap_or(0);
    }
    Duration::from_nanos(used)
}

/// Holds a process to its share: it runs until the cap is used up, and not at all for the rest of that tenth of a second.
fn hold_to_share(pid: u32, ends: &AtomicBool) {
    let cap = CAP_PERIOD.mul_f64(CPU_FRACTION);
    while !ends.load(Ordering::Relaxed) {
        let (start, used) = (Instant::now(), used_cpu(pid));
        let mut is_stopped = false;
        while start.elapsed() < CAP_PERIOD {
            if !is_stopped && used_cpu(pid).saturating_sub(used) >= cap {
                // SAFETY: a signal to a process that this case has started and not waited for.
                unsafe { kill(pid as i32, SIGSTOP) };
                is_stopped = true;
            }
            thread::sleep(Duration::from_millis(2));
        }
        if is_stopped {
            // SAFETY: as above.
            unsafe { kill(pid as i32, SIGCONT) };
        }
    }
}

/// Link of the faulty endpoint, shared by its connections.
struct Link {
    /// Time at which the next piece may be sent.
    next: Mutex<Instant>,
    sent: AtomicU64,
}

impl Link {
    fn take(&self) {
        let due = {
            let mut next = self.next.lock().unwrap();
            let due = (*next).max(Instant::now());
            *next = due + Duration::from_secs_f64(PIECE_BYTES as f64 / LINK_BYTES);
            due
        };
        thread::sleep(due.saturating_duration_since(Instant::now()));
        self.sent.fetch_add(PIECE_BYTES as u64, Ordering::Relaxed);
    }
}

fn serve(id: &str, is_faulty: bool, stream: TcpStream, link: &Link, flooded: &AtomicU64) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let piece = INTERIM.repeat(PIECE_BYTES / INTERIM.len()).into_bytes();
    while let Some(request) = read_message(&mut reader, false) {
        let attempt = request.attempt();
        if is_faulty && trouble() {
            flooded.fetch_add(1, Ordering::Relaxed);
            loop {
                link.take();
                if writer.write_all(&piece).is_err() {
                    return;
                }
            }
        }
        thread::sleep(WORK);
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s-{id}-{attempt}\r\n");
        if request.target().starts_with("/pay/") {
            if writer.write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let head = format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut is_sent = writer.write_all(head.as_bytes()).is_ok();
        for number in 1..=STREAM_EVENTS {
            let event = format!("id: {number}\ndata: ok\n\n");
            is_sent = is_sent && writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_ok();
            thread::sleep(EVENT_GAP);
        }
        if !is_sent || writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Sends a request; returns its status, or 0 without an answer, and the time until then.
fn call(addr: SocketAddr, path: &str, attempt: &str, patience: Duration) -> (u16, Duration) {
    let start = Instant::now();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\nhi",
        patience.as_millis()
    );
    let status = exchange(addr, &request, patience).map_or(0, |answer| answer.status());
    (status, start.elapsed())
}

fn run(dir: &Path, record: &Arc<Record>) -> (i32, String) {
    let store = Store::start();
    let routes = [
        route("pay", "non_idempotent", "balie", TIMEOUT.as_millis() as u32, 1, ""),
        route("chat", "streaming", "smid", STREAM_TIMEOUT.as_millis() as u32, 1, ""),
    ];
    store.put("op/config", &config(7, &routes, &["balie", "smid"]));
    let link = Arc::new(Link { next: Mutex::new(Instant::now()), sent: AtomicU64::new(0) });
    let flooded = Arc::new(AtomicU64::new(0));
    let endpoints = [
        ("i-1", "balie", false),
        ("i-2", "balie", false),
        ("i-3", "balie", false),
        ("i-4", "smid", false),
        ("i-5", "smid", false),
        ("i-faulty", "smid", true),
    ];
    for (id, service, is_faulty) in endpoints {
        let (link, flooded) = (Arc::clone(&link), Arc::clone(&flooded));
        start_endpoint(&store, Entry::ready(id, service), move |stream, _| serve(id, is_faulty, stream, &link, &flooded));
    }
    let mut instance = Instance::start(dir, "edge-fl-gent-1", &store);
    if !instance.wait_ready() {
        return (2, "the instance was not ready".into());
    }
    thread::sleep(Duration::from_secs(4));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let ends = Arc::new(AtomicBool::new(false));
    let (held, pid) = (Arc::clone(&ends), instance.pid());
    let holder = thread::spawn(move || hold_to_share(pid, &held));
    let (probed, ended, ready) = (Arc::clone(record), Arc::clone(&ends), instance.ready);
    let prober = thread::spawn(move || {
        let (mut ok, mut all) = (0, 0);
        while !ended.load(Ordering::Relaxed) {
            let probe = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            ok += usize::from(exchange(ready, probe, Duration::from_secs(1)).is_some_and(|answer| answer.status() == 200));
            all += 1;
            thread::sleep(Duration::from_secs(1));
        }
        probed.line(&format!("the probe got 200 within a second {ok} of {all} times"));
    });
    let (start, mut callers, mut has_burst) = (Instant::now(), Vec::new(), false);
    for number in 0.. {
        if start.elapsed() >= LOAD_TIME {
            break;
        }
        let addr = instance.callers;
        if !has_burst && start.elapsed() >= CALM {
            has_burst = true;
            record.line(&format!("{STREAMS} streams come"));
            for stream in 0..STREAMS {
                callers.push(thread::spawn(move || {
                    call(addr, "/chat/2f", &format!("c{stream}"), STREAM_TIMEOUT);
                }));
            }
        }
        let answers = Arc::clone(&answers);
        callers.push(thread::spawn(move || {
            let at = start.elapsed();
            let (status, time) = call(addr, "/pay/2f", &format!("p{number}"), PATIENCE);
            answers.lock().unwrap().push((at, status, time));
        }));
        thread::sleep(PAYMENT_GAP);
    }
    for caller in callers {
        let _ = caller.join();
    }
    ends.store(true, Ordering::Relaxed);
    let _ = (prober.join(), holder.join());
    if !instance.is_running() {
        return (1, "the process has ended".into());
    }
    let mut answers = answers.lock().unwrap();
    answers.sort();
    let mut counts = BTreeMap::new();
    for (at, status, time) in answers.iter() {
        *counts.entry(*status).or_insert(0) += 1;
        record.line(&format!("payment sent at {:.2} s: {status} after {:.2} s", at.as_secs_f64(), time.as_secs_f64()));
    }
    let unanswered = answers.iter().filter(|(_, _, time)| *time > TIMEOUT).count();
    let late = answers.iter().filter(|(_, status, time)| *time > TIMEOUT + GRACE || *status == 0 && *time > TIMEOUT).count();
    record.line(&format!(
        "{} payments, by status {counts:?} (0: no answer); {} streams went to the faulty endpoint, which sent {} MB; \
         {unanswered} payments were unanswered at timeoutMs, {late} of them 0.5 s later",
        answers.len(),
        flooded.load(Ordering::Relaxed),
        link.sent.load(Ordering::Relaxed) / 1_000_000
    ));
    if late >= 8 && late * 2 > unanswered {
        return (1, format!("CONFIG broken: {late} of {unanswered} payments that were unanswered at timeoutMs had no answer 0.5 s later"));
    }
    (0, format!("CONFIG held: {late} of {unanswered} payments that were unanswered at timeoutMs had no answer 0.5 s later"))
}

fn main() {
    let (record, dir) = (Record::open("14"), temp_dir("14"));
    let (code, text) = run(&dir, &record);
    finish(&record, &dir, code, &text)
}
