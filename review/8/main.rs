//! Callers that pause while they read a stream, on links with small windows.

#[path = "../standins-2/mod.rs"]
mod standins;

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use standins::*;

const CALLERS: usize = 12;
/// Largest stream of `roof-chat`: 176 events of 330 bytes, one each 25 ms (5 tokens of 5.05 ms).
const EVENTS: u32 = 176;
const EVENT_BYTES: usize = 330;
const GAP: Duration = Duration::from_millis(25);
/// Time limit of `roof-chat`.
const DEADLINE: Duration = Duration::from_secs(15);
/// Time for which a caller reads nothing.
const PAUSE: Duration = Duration::from_millis(3_500);
/// Receive buffer of a caller's channel, in bytes.
const WINDOW: i32 = 4_096;

fn start_endpoint(store: &Arc<Store>, record: &Arc<Record>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let entry = Entry { id: "server-a".into(), service: "s".into(), addr, version: "v1".into(), slots: 64, born: unix_ms() };
    let beats = (entry.clone(), Arc::clone(store));
    entry.write(store, "ready", 1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            beats.0.write(&beats.1, "ready", sequence);
        }
    });
    let record = Arc::clone(record);
    serve(listener, move |stream| serve_channel(stream, &entry, &record));
}

fn serve_channel(stream: TcpStream, entry: &Entry, record: &Record) {
    let mut out = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let attempt = request.header("x-attempt-id").to_owned();
        if request.header("x-expect-instance") != entry.id {
            let _ = write!(out, "HTTP/1.1 421 X\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: {}.{attempt}\r\nX-Server-Load: 1,0,64\r\n", entry.id);
        if request.path.starts_with("/read/") {
            if write!(out, "{head}Content-Length: 4\r\n\r\nbody").is_err() {
                return;
            }
            continue;
        }
        record.line(format!("run {attempt}"));
        if write!(out, "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        for event in 1..=EVENTS {
            thread::sleep(GAP);
            let mut text = format!("id: {event}\ndata: ");
            while text.len() < EVENT_BYTES - 2 {
                text.push('x');
            }
            text.push_str("\n\n");
            if let Err(err) = write!(out, "{:x}\r\n{text}\r\n", text.len()) {
                record.line(format!("run {attempt} cut after event {}: {err}", event - 1));
                return;
            }
        }
        if out.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
        record.line(format!("run {attempt} ended whole"));
    }
}

fn call(index: usize, instance: SocketAddr, record: &Record) -> bool {
    let Ok(mut channel) = connect_with_window(instance, WINDOW) else { broken_setup("no channel") };
    let mut reader = BufReader::with_capacity(1 << 10, channel.try_clone().unwrap());
    // The channel is kept: a first request is answered on it.
    let first = format!("GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {:016x}\r\nX-Deadline-Ms: 3000\r\n\r\n", 0x100 + index);
    channel.write_all(first.as_bytes()).unwrap();
    let answer = read_answer(&mut reader, |_| {});
    if answer.status != 200 || !answer.complete {
        broken_setup("the first request on a channel was not served");
    }
    let attempt = format!("{:016x}", 0x200 + index);
    let start = Instant::now();
    let request = format!(
        "POST /tell/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\nContent-Length: 4\r\n\r\nbody",
        DEADLINE.as_millis()
    );
    channel.write_all(request.as_bytes()).unwrap();
    let _ = channel.set_read_timeout(Some(Duration::from_secs(5)));
    let mut paused = !is_troubled();
    let mut count = 0;
    let answer = read_answer(&mut reader, |bytes| {
        count += bytes.iter().filter(|byte| **byte == b'x').count().min(1);
        if !paused && count == 10 {
            paused = true;
            thread::sleep(PAUSE);
        }
    });
    let took = start.elapsed();
    record.line(format!(
        "caller {index}: {attempt} answered {} with {} bytes after {:.2} s, {}",
        answer.status,
        answer.body.len(),
        took.as_secs_f64(),
        if answer.complete { "complete".to_owned() } else { format!("cut: {}", answer.error) }
    ));
    let _ = reader.read(&mut []);
    answer.complete || took >= DEADLINE
}

fn main() {
    let record = Record::create(&std::env::args().nth(1).expect("record file"));
    start_watchdog(Duration::from_secs(100));
    let store = Store::start();
    let routes = [route("read", "idempotent", 2, 3_000, false), route("tell", "streaming", 1, 15_000, false)];
    store.put("op/config", &config(7, &[&routes[0], &routes[1]], 65_536));
    start_endpoint(&store, &record);
    let mut instance = Instance::new("n1", &store, BRANNOCK_INV_GROWN);
    instance.start();
    if !instance.wait_ready(Duration::from_secs(10)) {
        broken_setup("the instance did not become ready");
    }
    thread::sleep(Duration::from_secs(6));
    // Planned work, also without the disruption.
    instance.reload();
    record.line("the settings file changes, SIGHUP");
    let cut: Arc<Mutex<usize>> = Arc::default();
    let threads: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (record, cut, callers) = (Arc::clone(&record), Arc::clone(&cut), instance.callers);
            thread::spawn(move || {
                if !call(index, callers, &record) {
                    *cut.lock().unwrap() += 1;
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    let cut = *cut.lock().unwrap();
    drop(instance);
    finish(&record, cut > 3, &format!("{cut} of {CALLERS} channels ended without a complete answer (bound 3)"));
}
