//! Requests with one part of the prompt crash each endpoint that begins to answer them; sound ones have the same path.
mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const ENDPOINTS: usize = 3;
/// Parts of the prompts: the first one is shared by all, the deadly one by those that crash endpoints.
const FIRST_PART: &str = "5c1e07a2:800";
const DEADLY_PART: &str = "dead07a2:410";
/// Time for which an endpoint is away after a crash; it returns under another id and address.
const AWAY: Duration = Duration::from_secs(3);
/// Time after which the store removes the entry of a silent endpoint: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3_600);
const CALM: Duration = Duration::from_secs(10);
const TROUBLE_TIME: Duration = Duration::from_secs(30);
/// `stableWindowMs` of the deployment.
const WINDOW: Duration = Duration::from_millis(3_000);
const SOUND_GAP: Duration = Duration::from_millis(250);
const DEADLY_GAP: Duration = Duration::from_millis(2_000);
/// Deadly requests that come at the same moment.
const DEADLY_AT_ONCE: usize = 6;

#[derive(Default)]
struct Seen {
    crashes: Mutex<Vec<Instant>>,
    /// Attempts that an endpoint has begun to answer.
    begun: Mutex<BTreeMap<String, Instant>>,
}

/// One life of an endpoint, until its first deadly request.
struct Life {
    id: String,
    connections: Mutex<Vec<TcpStream>>,
    is_over: AtomicBool,
}

impl Life {
    /// Ends the process: its connections are reset, and its port is closed.
    fn crash(&self, addr: SocketAddr) {
        self.is_over.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which then closes the port.
        let _ = TcpStream::connect(addr);
    }
}

fn serve(life: &Life, addr: SocketAddr, stream: TcpStream, seen: &Seen, record: &Record) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader, false) {
        let attempt = request.attempt();
        thread::sleep(Duration::from_millis(20));
        if life.is_over.load(Ordering::SeqCst) {
            return;
        }
        if request.header("x-prompt-prefix").is_some_and(|parts| parts.contains(DEADLY_PART)) {
            record.line(&format!("{} crashes as it begins to answer {attempt}", life.id));
            seen.crashes.lock().unwrap().push(Instant::now());
            life.crash(addr);
            return;
        }
        seen.begun.lock().unwrap().insert(attempt.clone(), Instant::now());
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
             X-Server-Signature: s-{}-{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n",
            life.id
        );
        if writer.write_all(head.as_bytes()).is_err() {
            return;
        }
        for number in 1..=5 {
            let event = format!("id: {number}\ndata: x\n\n");
            if writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).is_err() {
                return;
            }
            thread::sleep(Duration::from_millis(20));
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Runs an endpoint through its lives.
fn run_endpoint(index: usize, store: &Arc<Store>, seen: &Arc<Seen>, record: &Arc<Record>) {
    for life_number in 0.. {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let id = format!("i-{index}-{life_number}");
        let born = 1_700_000_000_000_u64 + life_number * 1_000;
        let life = Arc::new(Life { id: id.clone(), connections: Mutex::default(), is_over: AtomicBool::new(false) });
        let (beating, beat_store) = (Arc::clone(&life), Arc::clone(store));
        thread::spawn(move || {
            let entry = Entry { more: format!(",\"born\":{born}"), ..Entry::ready(&beating.id, "llm") };
            for sequence in 1.. {
                if beating.is_over.load(Ordering::SeqCst) {
                    break;
                }
                beat_store.put(&format!("servers/{}", beating.id), &entry.json(addr, sequence));
                thread::sleep(Duration::from_millis(1_200));
            }
            thread::sleep(ENTRY_LIFETIME - Duration::from_millis(1_200));
            beat_store.remove(&format!("servers/{}", beating.id));
        });
        for stream in listener.incoming().flatten() {
            if life.is_over.load(Ordering::SeqCst) {
                break;
            }
            let _ = stream.set_nodelay(true);
            life.connections.lock().unwrap().push(stream.try_clone().unwrap());
            let (life, seen, record) = (Arc::clone(&life), Arc::clone(seen), Arc::clone(record));
            thread::spawn(move || serve(&life, addr, stream, &seen, &record));
        }
        drop(listener);
        thread::sleep(AWAY);
        record.line(&format!("endpoint {index} is back"));
    }
}

fn request(attempt: &str, parts: &str) -> String {
    format!(
        "POST /draft/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\nX-Token-Usage: 1460,80\r\n\
         X-Prompt-Prefix: {parts}\r\nX-Deadline-Ms: 6000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
}

fn run(dir: &Path, record: &Arc<Record>) -> (i32, String) {
    let store = Store::start();
    let routes = [route("draft", "streaming", "llm", 6_000, 1, ",\"sticky\":true,\"resumable\":false,\"targetGapMs\":600")];
    store.put("op/config", &config(7, &routes, &["llm"]));
    let seen = Arc::new(Seen::default());
    for index in 0..ENDPOINTS {
        let (store, seen, record) = (Arc::clone(&store), Arc::clone(&seen), Arc::clone(record));
        thread::spawn(move || run_endpoint(index, &store, &seen, &record));
    }
    let instances: Vec<Instance> = (1..=2).map(|n| Instance::start(dir, &format!("edge-fl-gent-{n}"), &store)).collect();
    if !instances.iter().all(Instance::wait_ready) {
        return (2, "an instance was not ready".into());
    }
    thread::sleep(Duration::from_secs(5));
    let addrs: Vec<SocketAddr> = instances.iter().map(|instance| instance.callers).collect();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let numbers = Arc::new(AtomicU64::new(0));
    let (start, mut next_deadly) = (Instant::now(), CALM);
    while start.elapsed() < CALM + TROUBLE_TIME {
        if trouble() && start.elapsed() >= next_deadly {
            next_deadly += DEADLY_GAP;
            for _ in 0..DEADLY_AT_ONCE {
                let number = numbers.fetch_add(1, Ordering::Relaxed);
                let (addr, record) = (addrs[number as usize % addrs.len()], Arc::clone(record));
                thread::spawn(move || {
                    let text = request(&format!("d{number}"), &format!("{FIRST_PART},{DEADLY_PART},{:x}:250", 0xa000_0000 + number));
                    let answer = exchange(addr, &text, Duration::from_secs(6));
                    record.line(&format!("deadly request d{number}: {:?}", answer.map(|answer| answer.status())));
                });
            }
        }
        let number = numbers.fetch_add(1, Ordering::Relaxed);
        let (addr, record, sent) = (addrs[number as usize % addrs.len()], Arc::clone(record), Arc::clone(&sent));
        thread::spawn(move || {
            let attempt = format!("s{number}");
            let at = Instant::now();
            let text = request(&attempt, &format!("{FIRST_PART},{:x}:250", 0xb000_0000 + number));
            let answer = exchange(addr, &text, Duration::from_secs(6));
            record.line(&format!("sound request {attempt}: {:?}", answer.map(|answer| answer.status())));
            sent.lock().unwrap().push((attempt, at));
        });
        thread::sleep(SOUND_GAP);
    }
    thread::sleep(Duration::from_secs(1));
    let (sent, begun) = (sent.lock().unwrap(), seen.begun.lock().unwrap());
    let share = |from: Instant, until: Instant| {
        let window: Vec<_> = sent.iter().filter(|(_, at)| *at >= from && *at < until).collect();
        let count = window.iter().filter(|(attempt, _)| begun.contains_key(attempt)).count();
        (count, window.len())
    };
    let (calm_begun, calm) = share(start, start + CALM);
    let crashes = seen.crashes.lock().unwrap();
    record.line(&format!("{} crashes; in calm {calm_begun} of {calm} sound requests began", crashes.len()));
    if calm < 20 || calm_begun < calm {
        return (2, "not all sound requests began in calm".into());
    }
    // Without the disruption, the same seconds are judged.
    let last = crashes.get(4).or(crashes.last()).copied().unwrap_or(start + CALM);
    let (later_begun, later) = share(last + 2 * WINDOW, start + CALM + TROUBLE_TIME);
    record.line(&format!("from 2 x stableWindowMs after the fifth or last crash {later_begun} of {later} sound requests began"));
    if later < 20 {
        return (2, "too few sound requests were sent".into());
    }
    if later_begun * calm * 2 < later * calm_begun {
        return (1, format!("LOST broken: {later_begun} of {later} sound requests began, of {calm_begun} of {calm} in calm"));
    }
    (0, format!("LOST held: {later_begun} of {later} sound requests began, of {calm_begun} of {calm} in calm"))
}

fn main() {
    let (record, dir) = (Record::open("13"), temp_dir("13"));
    let (code, text) = run(&dir, &record);
    finish(&record, &dir, code, &text)
}
