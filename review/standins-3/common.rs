//! Parts that the stand-ins of the third review share: a store, endpoints, callers and the instances under test.
//! Only the standard library is used, so that `rustc` alone builds them.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Record of what was sent, answered and run, in `record.txt`.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn open(case: &str) -> Arc<Self> {
        let file = File::create(format!("review/{case}/record.txt")).expect("record.txt");
        Arc::new(Self { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.start.elapsed().as_secs_f64());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Returns whether the disruption of the case is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Message of HTTP/1.1, either a request or a response.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn attempt(&self) -> String {
        self.header("x-attempt-id").unwrap_or("-").to_owned()
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    Some(Message { first: first.trim_end().to_owned(), headers, body: Vec::new() })
}

/// Reads a message with its body, of a length, in chunks, or (a response) up to the end of the connection. None if it is
/// not whole.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        message.body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut message.body).ok()?;
    } else if is_response {
        reader.read_to_end(&mut message.body).ok()?;
    }
    Some(message)
}

/// A JSON value, as far as the store needs it.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Self::value(bytes, &mut at)
    }

    fn skip(bytes: &[u8], at: &mut usize) {
        while bytes.get(*at).is_some_and(|byte| b" \t\r\n,:".contains(byte)) {
            *at += 1;
        }
    }

    fn value(bytes: &[u8], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at) == Some(&b'}') {
                        *at += 1;
                        return Some(Self::Object(fields));
                    }
                    let Self::Text(key) = Self::value(bytes, at)? else { return None };
                    fields.push((key, Self::value(bytes, at)?));
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    if bytes.get(*at) == Some(&b']') {
                        *at += 1;
                        return Some(Self::List(items));
                    }
                    items.push(Self::value(bytes, at)?);
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                while *bytes.get(*at)? != b'"' {
                    if bytes[*at] == b'\\' {
                        *at += 1;
                    }
                    text.push(*bytes.get(*at)?);
                    *at += 1;
                }
                *at += 1;
                String::from_utf8(text).ok().map(Self::Text)
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|byte| !b",:]} \t\r\n".contains(byte)) {
                    *at += 1;
                }
                match std::str::from_utf8(&bytes[start..*at]).ok()? {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Self::List(items) = self { items } else { &[] }
    }
}

pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let bits = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

#[derive(Clone)]
struct Item {
    /// The value in base64; none if the key was removed at this revision.
    value: Option<String>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// Stand-in of the platform's store.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StoreState {
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, (_, at))| now >= *at).map(|(id, _)| *id).collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of = |item: &Item| item.lease == lease && item.value.is_some();
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| of(item)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.set(&key, None, 0);
        }
    }

    fn set(&mut self, key: &str, value: Option<String>, lease: u64) {
        self.revision += 1;
        let before = self.items.get(key).filter(|item| item.value.is_some());
        let created = before.map_or(self.revision, |item| item.created);
        self.items.insert(key.to_owned(), Item { value, revision: self.revision, created, lease });
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, created, lease } = item;
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

fn query(target: &str, name: &str) -> String {
    let pairs = target.split_once('?').map_or("", |(_, pairs)| pairs);
    let mut values = pairs.split('&').filter_map(|pair| pair.split_once('='));
    let value = values.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    value.replace("%2F", "/")
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let store = Arc::new(Self { addr, state: Mutex::default(), changed: Condvar::new() });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or an endpoint does.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().set(key, Some(encode_base64(value.as_bytes())), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().set(key, None, 0);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader, false) {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} S\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target();
        let path = target.split('?').next().unwrap_or("");
        let mut state = self.state.lock().unwrap();
        if state.expire() {
            self.changed.notify_all();
        }
        match path {
            "/v1/kv-key" => {
                let key = query(target, "key");
                let at = state.revision;
                match state.items.get(&key).filter(|item| item.value.is_some()) {
                    Some(item) => {
                        let json = item_json(&key, item);
                        (200, format!("{},\"at\":{at}}}", &json[..json.len() - 1]))
                    }
                    None => (404, format!("{{\"at\":{at}}}")),
                }
            }
            "/v1/kv-range" => {
                let (prefix, after) = (query(target, "prefix"), query(target, "after"));
                let found = state.items.iter().filter(|(key, item)| {
                    item.value.is_some() && key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                (200, format!("{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}", items.join(","), state.revision))
            }
            "/v1/kv-watch" => {
                let (prefix, after) = (query(target, "prefix"), query(target, "after").parse().unwrap_or(0));
                let end = Instant::now() + Duration::from_millis(query(target, "waitMs").parse().unwrap_or(0));
                loop {
                    let found = state.items.iter().filter(|(key, item)| key.starts_with(&prefix) && item.revision > after);
                    let events: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
                    }
                    state = self.changed.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
                    state.expire();
                }
            }
            "/v1/kv-txn" => {
                let Some(body) = Json::parse(&String::from_utf8_lossy(&request.body)) else { return (400, "{}".into()) };
                let rows = |name: &str| body.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
                let expected = rows("expected");
                let current = |key: &str| state.items.get(key).filter(|item| item.value.is_some()).map_or(0, |item| item.revision);
                let field = |row: &Json, name: &str| row.get(name).cloned().unwrap_or(Json::Null);
                if expected.iter().any(|row| current(field(row, "key").text()) != field(row, "revision").number()) {
                    let items = expected.iter().filter_map(|row| {
                        let key = field(row, "key").text().to_owned();
                        state.items.get(&key).map(|item| item_json(&key, item))
                    });
                    return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
                }
                let writes = rows("write");
                let lease = |row: &Json| field(row, "lease").number();
                if writes.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
                    return (404, "{}".into());
                }
                for row in &writes {
                    state.set(field(row, "key").text(), Some(field(row, "value").text().to_owned()), lease(row));
                }
                for key in &rows("remove") {
                    state.set(key.text(), None, 0);
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            "/v1/kv-lease" => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
                let ttl = body.get("ttlMs").map_or(1_000, Json::number);
                state.revision += 1;
                let (id, time) = (state.revision, Duration::from_millis(ttl));
                state.leases.insert(id, (time, Instant::now() + time));
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            _ if path.starts_with("/v1/kv-keep/") => {
                let id: u64 = path[12..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some((time, until)) => {
                        *until = Instant::now() + *time;
                        (200, format!("{{\"ttlMs\":{}}}", time.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            _ if path.starts_with("/v1/kv-lease-end/") => {
                state.end_lease(path[17..].parse().unwrap_or(0));
                self.changed.notify_all();
                (200, "{}".into())
            }
            _ => (400, "{}".into()),
        }
    }
}

/// What an endpoint writes about itself, besides its address.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub state: String,
    pub version: String,
    /// Further fields in JSON, each after a comma.
    pub more: String,
}

impl Entry {
    pub fn ready(id: &str, service: &str) -> Self {
        Self { id: id.into(), service: service.into(), state: "ready".into(), version: "v1".into(), more: String::new() }
    }

    pub fn json(&self, addr: SocketAddr, sequence: u64) -> String {
        let Self { service, state, version, more, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"fl-gent\",\"version\":\"{version}\",\"slots\":6,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence}{more}}}"
        )
    }
}

/// Starts an endpoint: each connection is served by `serve` on a thread of its own; the entry is written every 1.2 s.
pub fn start_endpoint(
    store: &Arc<Store>,
    entry: Entry,
    serve: impl Fn(TcpStream, usize) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().flatten().enumerate() {
            let _ = stream.set_nodelay(true);
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream, number));
        }
    });
    let store = Arc::clone(store);
    thread::spawn(move || {
        for sequence in 1.. {
            store.put(&format!("servers/{}", entry.id), &entry.json(addr, sequence));
            thread::sleep(Duration::from_millis(1_200));
        }
    });
    addr
}

/// A route of the configuration.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32, more: &str) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"hostname\":\"shop.example\",\"prefix\":\"/{name}/\",\"routeType\":\"{kind}\",\
         \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":300,\"priority\":1,\"service\":\"{service}\",\
         \"maxAttempts\":{attempts}{more}}}"
    )
}

/// The configuration, with limits like those of the small deployments.
pub fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// A process under test, which is killed when this is dropped.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

fn free_ports(count: usize) -> Vec<u16> {
    let held: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    held.iter().map(|listener| listener.local_addr().unwrap().port()).collect()
}

fn setting(name: &str, default: &str) -> String {
    std::env::var(name).unwrap_or_else(|_| default.to_owned())
}

/// Returns the first of two free ports that follow each other.
fn free_pair() -> u16 {
    loop {
        let first = TcpListener::bind("127.0.0.1:0").unwrap();
        let port = first.local_addr().unwrap().port();
        if port < u16::MAX && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
            return port;
        }
    }
}

impl Instance {
    /// Writes the settings of an instance, as the platform does, and starts the command of the deploy file.
    pub fn start(dir: &std::path::Path, name: &str, store: &Store) -> Self {
        let ports = free_ports(2);
        let internal = free_pair();
        let (memory, fds) = (setting("MEM", "260"), setting("FDS", "4100"));
        let text = format!(
            "nodeName={name}\nrole=gateway\nmachineClass=edge\nserves=edge\nip=127.0.0.1\nzone=fl-gent\nregion=be-fl\n\
             zones.fl-gent=be-fl\nlisten.frontend=127.0.0.1:{}\nlisten.ready=127.0.0.1:{}\n\
             internalPortRange={internal},{}\nbootstrap=true\nlimits.cpuFraction=0.25\nlimits.cpuCores=1\n\
             limits.memoryMb={memory}\nlimits.maxFds={fds}\nlimits.linkMbps=1000.0\nlimits.diskMb=0\ndiscovery=platform\n\
             entry=vip\nheartbeatMs=1200\nbounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.stableWindowMs=3000\n\
             bounds.ackMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxStretchMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\nbounds.retrySlack=58\nbounds.recoveryS=12\n\
             bounds.passMs=120\nbounds.retryAfterS=0\nbounds.fencingEnabled=false\nbounds.leaseMs=3000\n\
             bounds.thawMs=300\nbounds.ceilingWindowS=5\nbounds.ceilingOvershoot=1.1\nplatform.address={}\n\
             platform.form=kv\nplatform.writesPerS=400\nplatform.readsPerS=2000\nplatform.historyS=20\n\
             platform.valueBytes=1048576\nplatform.minTtlMs=1000\n",
            ports[0],
            ports[1],
            internal + 1,
            store.addr
        );
        let settings = dir.join(format!("{name}.conf"));
        std::fs::write(&settings, text).unwrap();
        let addr = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let mut instance =
            Self { name: name.into(), callers: addr(ports[0]), ready: addr(ports[1]), settings, child: None };
        instance.spawn();
        instance
    }

    pub fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(self.settings.with_extension("log")).unwrap();
        let child = Command::new("target/release/carobwick-serve")
            .env("CAROBWICK_NODE_FILE", &self.settings)
            .env_remove("CAROBWICK_LOG")
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.expect("target/release/carobwick-serve; build it first"));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
    }

    pub fn is_running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until the process says that it is ready; returns whether it did within 20 s.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if is_ready(self.ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_ready(addr: SocketAddr) -> bool {
    let answer = exchange(addr, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", Duration::from_secs(1));
    answer.is_some_and(|answer| answer.status() == 200)
}

/// Sends bytes on a connection of its own and reads one response; none if there is no whole one.
pub fn exchange(addr: SocketAddr, request: &str, time: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(time)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream), true)
}

/// A temporary folder for settings and logs.
pub fn temp_dir(case: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("carobwick-review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, dir: &std::path::Path, code: i32, text: &str) -> ! {
    record.line(text);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(dir);
    }
    std::process::exit(code)
}
