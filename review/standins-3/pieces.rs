//! Many callers send bodies of legal size piece by piece; ordinary callers try meanwhile.
mod common;

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Callers that send piece by piece.
const CALLERS: usize = 2_000;
const PIECE_BYTES: usize = 4_500;
const PIECE_GAP: Duration = Duration::from_millis(900);
const PIECES: usize = 8;
/// Ordinary callers, each of which tries again after a while as long as it gets no answer.
const ORDINARY: usize = 10;
const TRY_GAP: Duration = Duration::from_millis(200);
/// `stableWindowMs` of the deployment.
const WINDOW: Duration = Duration::from_millis(3_000);

fn serve(stream: TcpStream) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, false) {
        let attempt = request.attempt();
        let response = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: s-{attempt}\r\nContent-Length: 2\r\n\r\nok"
        );
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// Counts of the ordinary callers' attempts.
#[derive(Default)]
struct Attempts {
    served: AtomicUsize,
    refused: AtomicUsize,
    closed: AtomicUsize,
    ready: AtomicUsize,
    not_ready: AtomicUsize,
}

fn try_once(addr: SocketAddr, attempt: &str, attempts: &Attempts) {
    let request = format!(
        "POST /pay/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 3000\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\nhi"
    );
    match exchange(addr, &request, Duration::from_secs(3)) {
        Some(answer) if answer.status() == 200 => attempts.served.fetch_add(1, Ordering::Relaxed),
        Some(_) => attempts.refused.fetch_add(1, Ordering::Relaxed),
        None => attempts.closed.fetch_add(1, Ordering::Relaxed),
    };
}

fn run(dir: &Path, record: &Arc<Record>) -> (i32, String) {
    let store = Store::start();
    let routes = [route("pay", "non_idempotent", "balie", 3_000, 1, "")];
    store.put("op/config", &config(7, &routes, &["balie"]));
    start_endpoint(&store, Entry::ready("i-1", "balie"), |stream, _| serve(stream));
    let mut instance = Instance::start(dir, "edge-fl-gent-1", &store);
    if !instance.wait_ready() {
        return (2, "the instance was not ready".into());
    }
    let mut open = Vec::new();
    if trouble() {
        for number in 0..CALLERS {
            let Ok(stream) = TcpStream::connect(instance.callers) else { continue };
            let _ = stream.set_nonblocking(true);
            open.push((number, stream));
            if number % 100 == 99 {
                thread::sleep(Duration::from_millis(20));
            }
        }
        record.line(&format!("{} callers have connected", open.len()));
        open.retain_mut(|(number, stream)| {
            let head = format!(
                "POST /pay/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: c{number}\r\nX-Deadline-Ms: 60000\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).is_ok()
        });
    }
    let (attempts, ends) = (Arc::new(Attempts::default()), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    for caller in 0..ORDINARY {
        let (attempts, ends, addr) = (Arc::clone(&attempts), Arc::clone(&ends), instance.callers);
        threads.push(thread::spawn(move || {
            for number in 0.. {
                if ends.load(Ordering::Relaxed) {
                    return;
                }
                try_once(addr, &format!("o{caller}-{number}"), &attempts);
                thread::sleep(TRY_GAP);
            }
        }));
    }
    let (probed, ended, ready) = (Arc::clone(&attempts), Arc::clone(&ends), instance.ready);
    threads.push(thread::spawn(move || {
        while !ended.load(Ordering::Relaxed) {
            let probe = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            match exchange(ready, probe, Duration::from_secs(1)) {
                Some(answer) if answer.status() == 200 => probed.ready.fetch_add(1, Ordering::Relaxed),
                _ => probed.not_ready.fetch_add(1, Ordering::Relaxed),
            };
            thread::sleep(Duration::from_secs(1));
        }
    }));
    let piece = format!("{PIECE_BYTES:x}\r\n{}\r\n", "b".repeat(PIECE_BYTES)).into_bytes();
    let (mut longest, mut since) = (Duration::ZERO, Instant::now());
    let mut known = 0;
    for number in 0..PIECES {
        let start = Instant::now();
        if trouble() {
            open.retain_mut(|(_, stream)| stream.write_all(&piece).is_ok());
        }
        while start.elapsed() < PIECE_GAP {
            let served = attempts.served.load(Ordering::Relaxed);
            if served > known {
                known = served;
                since = Instant::now();
            }
            longest = longest.max(since.elapsed());
            thread::sleep(Duration::from_millis(10));
        }
        let count = |counter: &AtomicUsize| counter.load(Ordering::Relaxed);
        record.line(&format!(
            "piece {}: {} callers send; ordinary attempts: {} served, {} refused, {} closed without an answer; ready {} of {} times",
            number + 1,
            open.len(),
            count(&attempts.served),
            count(&attempts.refused),
            count(&attempts.closed),
            count(&attempts.ready),
            count(&attempts.ready) + count(&attempts.not_ready)
        ));
    }
    ends.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let answered = open.iter_mut().map(|(_, stream)| stream).filter_map(|stream| stream.read(&mut [0; 64]).ok()).count();
    record.line(&format!("{answered} of the callers that sent piece by piece were answered or closed"));
    if !instance.is_running() {
        return (1, "the process has ended".into());
    }
    if longest > WINDOW {
        return (1, format!("RECOVER broken: no ordinary caller got an answer for {longest:.1?}"));
    }
    (0, format!("RECOVER held: at most {longest:.1?} without an answer to an ordinary caller"))
}

fn main() {
    let (record, dir) = (Record::open("15"), temp_dir("15"));
    let (code, text) = run(&dir, &record);
    finish(&record, &dir, code, &text)
}
