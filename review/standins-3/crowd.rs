//! Many callers send requests of legal size, stop just short of the end and stay open.
mod common;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use common::*;

/// Memory and descriptors of the smallest machines of the deployment, of which it has 43.
const MEMORY_MB: u64 = 120;
const MAX_FDS: &str = "3075";
const CALLERS: usize = 1_600;
/// Headers of each request, and the bytes of each name: together below the 16,384 bytes that a head may have.
const HEADERS: usize = 95;
const HEADER_BYTES: usize = 150;
/// Bytes of each body, of 4 MB that are legal.
const BODY_BYTES: usize = 15_900;
const ORDINARY: usize = 40;

/// Returns a figure of the process's memory, in MB; none if the process has ended.
fn memory(pid: u32, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.split_whitespace().next()?.parse::<u64>().ok().map(|kilobytes| kilobytes / 1_024)
}

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

/// Sends ordinary requests one after the other; returns how many were served.
fn send_ordinary(addr: SocketAddr, record: &Record) -> usize {
    let served = |number: usize| {
        let request = format!(
            "POST /pay/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: o{number}\r\nX-Deadline-Ms: 3000\r\n\
             Content-Length: 2\r\nConnection: close\r\n\r\nhi"
        );
        exchange(addr, &request, Duration::from_secs(3)).is_some_and(|answer| answer.status() == 200)
    };
    let count = (0..ORDINARY).filter(|number| served(*number)).count();
    record.line(&format!("{count} of {ORDINARY} ordinary requests are served"));
    count
}

fn run(dir: &Path, record: &Arc<Record>) -> (i32, String) {
    let store = Store::start();
    let routes = [route("pay", "non_idempotent", "desk", 3_000, 1, "")];
    store.put("op/config", &config(7, &routes, &["desk"]));
    start_endpoint(&store, Entry::ready("i-1", "desk"), |stream, _| serve(stream));
    let mut instance = Instance::start(dir, "edge-tn-north-a-3", &store);
    if !instance.wait_ready() {
        return (2, "the instance was not ready".into());
    }
    let pid = instance.pid();
    record.line(&format!("ready, {} MB", memory(pid, "VmRSS:").unwrap_or(0)));
    if send_ordinary(instance.callers, record) < ORDINARY {
        return (2, "ordinary requests are not served in calm".into());
    }
    let mut open = Vec::new();
    if trouble() {
        let headers: String = (0..HEADERS).map(|n| format!("X-Note-{n:02}-{}: a\r\n", "a".repeat(HEADER_BYTES))).collect();
        for number in 0..CALLERS {
            let Ok(mut stream) = TcpStream::connect(instance.callers) else { continue };
            let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
            let head = format!(
                "POST /pay/2f HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: c{number}\r\nX-Deadline-Ms: 60000\r\n\
                 {headers}Transfer-Encoding: chunked\r\n\r\n"
            );
            if number == 0 {
                record.line(&format!("each caller sends a head of {} bytes and {BODY_BYTES} bytes of a chunked body", head.len()));
            }
            let mut text = head.into_bytes();
            text.extend(format!("{BODY_BYTES:x}\r\n{}\r\n", "b".repeat(BODY_BYTES)).into_bytes());
            // The last chunk is not whole.
            text.extend(b"5\r\nbbbb");
            let _ = stream.write_all(&text);
            open.push(stream);
            if number % 200 == 199 {
                record.line(&format!("{} callers: {} MB", number + 1, memory(pid, "VmRSS:").unwrap_or(0)));
            }
        }
    }
    thread::sleep(Duration::from_secs(2));
    let Some(peak) = memory(pid, "VmHWM:") else { return (1, "FAULT: the process has ended".into()) };
    record.line(&format!("the process has used {peak} MB at most, of {MEMORY_MB} MB"));
    send_ordinary(instance.callers, record);
    if !instance.is_running() {
        return (1, "FAULT: the process has ended".into());
    }
    if peak > MEMORY_MB {
        return (1, format!("FAULT: {peak} MB are used, and the platform kills a process at {MEMORY_MB} MB"));
    }
    (0, format!("the process stays within its memory, {peak} MB of {MEMORY_MB} MB"))
}

fn main() {
    // SAFETY: no other thread runs yet.
    unsafe {
        std::env::set_var("MEM", MEMORY_MB.to_string());
        std::env::set_var("FDS", MAX_FDS);
    }
    let (record, dir) = (Record::open("14"), temp_dir("14"));
    let (code, text) = run(&dir, &record);
    finish(&record, &dir, code, &text)
}
