//! Stand-ins of the platform's store, of endpoints and of callers, for the cases of this review.
//!
//! Only the standard library is used, so that `rustc` alone builds them.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Lines of `record.txt`.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        Arc::new(Self { start: Instant::now(), file: Mutex::new(File::create(path).expect("record")) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn elapsed(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}

/// Ports below those that the kernel gives to outgoing connections, which could otherwise take the port of a process while it
/// is down.
const FIRST_PORT: u32 = 12_000;
const PORTS: u32 = 20_000;

/// Returns a free loopback port, another one at each call.
pub fn free_port() -> u16 {
    free_ports(1)
}

/// Returns two free ports that follow each other.
pub fn free_port_pair() -> u16 {
    free_ports(2)
}

fn free_ports(count: u32) -> u16 {
    static NEXT: Mutex<u32> = Mutex::new(0);
    let mut next = NEXT.lock().unwrap();
    loop {
        // Cases that run at the same time begin at different places.
        let port = FIRST_PORT + (std::process::id().wrapping_mul(7_919) + *next) % PORTS;
        *next += count;
        let is_free = |port: u32| TcpListener::bind(("127.0.0.1", port as u16)).is_ok();
        if (port..port + count).all(is_free) {
            return port as u16;
        }
    }
}

// ---------------------------------------------------------------- HTTP

/// Request that a stand-in has received.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a request; none if the channel has ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let length: usize = headers.get("content-length").map_or(Some(0), |text| text.parse().ok())?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = match target.split_once('?') {
        Some((path, query)) => (path.to_owned(), parse_query(query)),
        None => (target, HashMap::new()),
    };
    Some(Request { method, path, query, headers, body })
}

fn read_headers(reader: &mut impl BufRead) -> Option<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), percent_decode(value))).collect()
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() + 0 {
            out.push(u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves each channel of a listener on a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handler(stream));
        }
    });
}

// ---------------------------------------------------------------- JSON and base64

/// JSON value, as far as the store's calls need it.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_json(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(rows) => rows.iter().find(|(key, _)| key == name).map_or(&Self::Null, |(_, value)| value),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Self] {
        if let Self::List(list) = self { list } else { &[] }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut rows = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(rows));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(key) = parse_json(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        *at += 1;
                        rows.push((key, parse_json(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_json(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            while *bytes.get(*at)? != b'"' {
                if bytes[*at] == b'\\' {
                    *at += 1;
                }
                text.push(bytes[*at]);
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(String::from_utf8(text).ok()?))
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < bytes.len() && !b",]} \n\r\t".contains(&bytes[*at]) {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64_encode(data: &[u8]) -> String {
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let bits = chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let symbol = BASE64[(bits >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= chunk.len() { char::from(symbol) } else { '=' });
        }
    }
    out
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    /// Value in base64, as written.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    removed: Vec<(u64, String)>,
    leases: HashMap<u64, (Instant, Duration)>,
    down: bool,
}

/// Stand-in of the platform's store.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let revision = self.revision;
        self.items.insert(key.to_owned(), Item { value, revision, created, lease });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.removed.push((self.revision, key.to_owned()));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (end, _)| now < *end);
        let ended: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in ended {
            self.remove(&key);
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let store = Arc::new(Self { addr, state: Mutex::new(StoreState { revision: 100, ..Default::default() }), changed: Condvar::new() });
        let served = Arc::clone(&store);
        serve(listener, move |stream| served.serve_channel(stream));
        store
    }

    /// Writes a key, as the operator and the endpoints do.
    pub fn put(&self, key: &str, value: &str) {
        self.state.lock().unwrap().put(key, base64_encode(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    /// Returns the value of a key of the system in base64.
    pub fn value(&self, key: &str) -> Option<String> {
        let mut state = self.state.lock().unwrap();
        state.expire();
        state.items.get(key).map(|item| item.value.clone())
    }

    fn serve_channel(&self, stream: TcpStream) {
        let mut out = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            // An answer takes 4 ms.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.respond(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if out.write_all(head.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        let text = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let body = || Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let not_found = (404, "{}".to_owned());
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/kv-key") => {
                let key = text("key");
                let Some(item) = state.items.get(&key) else { return not_found };
                let json = item_json(&key, item);
                (200, format!("{},\"at\":{}}}", &json[..json.len() - 1], state.revision))
            }
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (text("prefix"), text("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = found.map(|(key, item)| item_json(key, item)).collect();
                (200, format!("{{\"items\":[{}],\"hasMore\":false,\"at\":{}}}", items.join(","), state.revision))
            }
            ("GET", "/v1/kv-watch") => {
                let (prefix, after) = (text("prefix"), text("after").parse::<u64>().unwrap_or(0));
                let end = Instant::now() + Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                loop {
                    state.expire();
                    let mut events: Vec<(u64, String)> = Vec::new();
                    for (key, item) in state.items.iter().filter(|(key, item)| key.starts_with(&prefix) && item.revision > after) {
                        events.push((item.revision, item_json(key, item)));
                    }
                    for (revision, key) in state.removed.iter().filter(|(revision, key)| key.starts_with(&prefix) && *revision > after) {
                        events.push((*revision, format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")));
                    }
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        events.sort();
                        let events: Vec<String> = events.into_iter().map(|(_, json)| json).collect();
                        return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
                    }
                    state = self.changed.wait_timeout(state, left.min(Duration::from_millis(50))).unwrap().0;
                }
            }
            ("POST", "/v1/kv-txn") => {
                let body = body();
                let mut conflict = Vec::new();
                for row in body.get("expected").list() {
                    let key = row.get("key").text();
                    let current = state.items.get(key).map_or(0, |item| item.revision);
                    if current != row.get("revision").number() {
                        conflict.push(key.to_owned());
                    }
                }
                if !conflict.is_empty() {
                    let items: Vec<String> = conflict
                        .iter()
                        .map(|key| state.items.get(key).map_or(format!("{{\"key\":\"{key}\",\"revision\":0}}"), |item| item_json(key, item)))
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", items.join(",")));
                }
                for row in body.get("write").list() {
                    let lease = row.get("lease").number();
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return not_found;
                    }
                }
                for row in body.get("write").list() {
                    state.put(row.get("key").text(), row.get("value").text().to_owned(), row.get("lease").number());
                }
                for key in body.get("remove").list() {
                    state.remove(key.text());
                }
                self.changed.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = Duration::from_millis(body().get("ttlMs").number());
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let lease: u64 = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                let Some((end, ttl)) = state.leases.get_mut(&lease) else { return not_found };
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let lease: u64 = path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.leases.remove(&lease);
                state.expire();
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => not_found,
        }
    }
}

// ---------------------------------------------------------------- endpoints

/// What an endpoint tells of itself.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub version: String,
    pub slots: u32,
    pub born: u64,
}

impl Entry {
    pub fn write(&self, store: &Store, state: &str, sequence: u64) {
        let Self { id, service, addr, version, slots, born } = self;
        store.put(
            &format!("servers/{id}"),
            &format!(
                "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"z1\",\"version\":\"{version}\",\
                 \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
            ),
        );
    }
}

pub fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Settings of a deployment's service that the stand-ins write as its configuration.
pub fn config(version: u64, routes: &[&str], max_body: usize) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"s\",\"healthPath\":\"/healthz\",\"maxConnections\":400}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{max_body},\"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

pub fn route(name: &str, kind: &str, attempts: u32, timeout_ms: u32, resumable: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"a.example\",\"prefix\":\"/{name}/\",\"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":600,\"targetGapMs\":600,\"priority\":1,\"service\":\"s\",\"maxAttempts\":{attempts},\"resumable\":{resumable}}}"
    )
}

// ---------------------------------------------------------------- instances

/// Limits and bounds of `gietijzer-net`.
pub const GIETIJZER_NET: &str = "limits.cpuFraction=0.25\nlimits.memoryMb=260\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\n\
    contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform\nbounds.stableWindowMs=3000\nbounds.ackMs=4000\n\
    bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.configApplyMs=2000\nbounds.maxStretchMs=5000\nbounds.retrySlack=58\nbounds.recoveryS=12\n\
    bounds.passMs=120\nplatform.writesPerS=400\nplatform.readsPerS=2000\n";

/// Limits and bounds of `brannock-inv-grown`, for one of its larger machines.
pub const BRANNOCK_INV_GROWN: &str = "limits.cpuFraction=0.5\nlimits.memoryMb=512\nlimits.maxFds=8192\nlimits.linkMbps=200.0\n\
    contracts=base,drain,config,cost,retry,recover,health,pool,fleet,stream,engine,tenants,quota,pressure,platform\n\
    bounds.stableWindowMs=4000\nbounds.ackMs=6000\nbounds.catchUpS=6\nbounds.drainMs=3000\nbounds.configApplyMs=3000\n\
    bounds.maxStretchMs=6000\nbounds.revokeWhenPartitioned=false\nbounds.revokeMs=5000\nbounds.retrySlack=158\nbounds.quotaWindowS=8\n\
    bounds.quotaOvershoot=0.1\nbounds.quotaSlack=110000\nbounds.recoveryS=15\nbounds.passMs=200\nplatform.writesPerS=1200\n\
    platform.readsPerS=6000\n";

/// Limits and bounds of `sfax-scripts-grown`, for one of its smaller machines.
pub const SFAX_SCRIPTS_GROWN: &str = "limits.cpuFraction=0.09\nlimits.memoryMb=120\nlimits.maxFds=3075\nlimits.linkMbps=10.0\n\
    contracts=base,drain,config,cost,retry,recover,health,pool,fleet,stream,engine,pressure,platform\nbounds.stableWindowMs=4000\n\
    bounds.ackMs=6000\nbounds.catchUpS=6\nbounds.drainMs=3000\nbounds.configApplyMs=3000\nbounds.maxStretchMs=6000\nbounds.retrySlack=172\n\
    bounds.recoveryS=15\nbounds.passMs=200\nplatform.writesPerS=1200\nplatform.readsPerS=6000\n";

/// Process of the project, started as the deploy file says.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    /// Settings of a second start; empty before the first one.
    restart_settings: String,
    log: PathBuf,
    child: Option<Child>,
}

/// Processes that run, which are ended before the case exits.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_children() {
    for id in CHILDREN.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// Ends the case as one that couldn't run if it takes too long.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        broken_setup("the case took too long");
    });
}

pub fn temp_dir() -> &'static PathBuf {
    static DIR: OnceLock<PathBuf> = OnceLock::new();
    DIR.get_or_init(|| {
        let dir = std::env::temp_dir().join(format!("carobwick-case-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        dir
    })
}

impl Instance {
    /// `site` holds the limits and bounds of a deployment.
    pub fn new(name: &str, store: &Store, site: &str) -> Self {
        let ports = free_port_pair();
        let [callers, ready, control] = [free_port(), free_port(), free_port()];
        let text = format!(
            "nodeName={name}\nrole=gateway\nmachineClass=edge\nserves=edge\nip=127.0.0.1\nzone=z1\nregion=r1\nzones.z1=r1\n\
             listen.frontend=127.0.0.1:{callers}\nlisten.ready=127.0.0.1:{ready}\nlisten.controlPlane=127.0.0.1:{control}\n\
             internalPortRange={ports},{}\nseedNodes=\nbootstrap=true\ninTolerance=false\nlimits.cpuCores=1\nlimits.diskMb=0\n\
             discovery=platform\nentry=vip\nheartbeatMs=1200\nfaultTolerance.machines=2\nfaultTolerance.zones=1\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.graceS=8\nbounds.lossSlackMs=200\nbounds.rollbackSlackMs=250\n\
             bounds.retryBudgetRatio=0.2\nbounds.retryWindowS=10\nbounds.retryAfterS=0\nbounds.fencingEnabled=false\nbounds.leaseMs=3000\n\
             bounds.thawMs=300\nbounds.ceilingWindowS=5\nbounds.ceilingOvershoot=1.1\nplatform.address={}\nplatform.form=kv\n\
             platform.historyS=20\nplatform.valueBytes=1048576\nplatform.minTtlMs=1000\n{site}",
            ports + 1,
            store.addr
        );
        let settings = temp_dir().join(format!("{name}.conf"));
        std::fs::write(&settings, text).unwrap();
        let log = temp_dir().join(format!("{name}.log"));
        let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self { name: name.to_owned(), callers: addr(callers), ready: addr(ready), settings, restart_settings: String::new(), log, child: None }
    }

    pub fn start(&mut self) {
        if !self.restart_settings.is_empty() {
            std::fs::write(&self.settings, &self.restart_settings).unwrap();
        }
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/carobwick-serve")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CAROBWICK_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|err| broken_setup(&format!("can't start target/release/carobwick-serve: {err}")));
        CHILDREN.lock().unwrap().push(child.id());
        self.child = Some(child);
        // Only the first start is one of the whole system.
        let text = std::fs::read_to_string(&self.settings).unwrap().replace("bootstrap=true", "bootstrap=false");
        self.restart_settings = text;
    }

    /// Changes the settings file, in a field that means nothing, and sends SIGHUP.
    pub fn reload(&self) {
        let mut file = File::options().append(true).open(&self.settings).unwrap();
        file.write_all(b"review.changed=1\n").unwrap();
        self.signal("HUP");
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let request = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if stream.write_all(request.as_bytes()).is_err() {
            return false;
        }
        let mut text = [0; 12];
        stream.read_exact(&mut text).is_ok() && text.ends_with(b"200")
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            CHILDREN.lock().unwrap().retain(|id| *id != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn log_lines(&self, needle: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().filter(|line| line.contains(needle)).map(str::to_owned).collect()
    }

    /// Returns the memory of the process's own in KiB, without the pages of its files.
    pub fn own_memory(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the case as one that couldn't run.
pub fn broken_setup(text: &str) -> ! {
    eprintln!("could not run: {text}");
    end_children();
    let _ = std::fs::remove_dir_all(temp_dir());
    std::process::exit(2)
}

/// Ends the case with its verdict.
pub fn finish(record: &Record, broken: bool, text: &str) -> ! {
    record.line(format!("{}: {text}", if broken { "BROKEN" } else { "HELD" }));
    println!("{}: {text}", if broken { "broken" } else { "held" });
    end_children();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(temp_dir());
    }
    std::process::exit(i32::from(broken))
}

pub fn is_troubled() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- callers

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, addr: *const [u8; 16], length: u32) -> i32;
}

/// Opens a channel with a small receive buffer, as links with small windows have.
pub fn connect_with_window(addr: SocketAddr, bytes: i32) -> std::io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(addr) = addr else { return Err(std::io::ErrorKind::Unsupported.into()) };
    let mut raw = [0; 16];
    raw[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    raw[2..4].copy_from_slice(&addr.port().to_be_bytes());
    raw[4..8].copy_from_slice(&addr.ip().octets());
    // SAFETY: the pointers are valid for their lengths, and the descriptor is owned by the stream from here on.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4) != 0 || connect(fd, &raw, 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// How a caller's try ended.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// 0 if no head has arrived.
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the answer has come to its end as its framing says.
    pub complete: bool,
    pub error: String,
}

/// Reads an answer from a channel.
pub fn read_answer(reader: &mut impl BufRead, mut on_bytes: impl FnMut(&[u8])) -> Answer {
    let mut answer = Answer::default();
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => {
            answer.error = "closed".to_owned();
            return answer;
        }
        Ok(_) => {}
        Err(err) => {
            answer.error = err.to_string();
            return answer;
        }
    }
    answer.status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let Some(headers) = read_headers(reader) else {
        answer.error = "broken off in the head".to_owned();
        return answer;
    };
    answer.headers = headers;
    if answer.headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let mut line = String::new();
            match reader.read_line(&mut line) {
                Ok(0) => {
                    answer.error = "closed in the body".to_owned();
                    return answer;
                }
                Ok(_) => {}
                Err(err) => {
                    answer.error = err.to_string();
                    return answer;
                }
            }
            let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
                answer.error = "bad chunk".to_owned();
                return answer;
            };
            let mut chunk = vec![0; size + 2];
            if let Err(err) = reader.read_exact(&mut chunk) {
                answer.error = err.to_string();
                return answer;
            }
            if size == 0 {
                answer.complete = true;
                return answer;
            }
            on_bytes(&chunk[..size]);
            answer.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: usize = answer.headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while answer.body.len() < length {
        let mut buffer = vec![0; (length - answer.body.len()).min(16 << 10)];
        match reader.read(&mut buffer) {
            Ok(0) => {
                answer.error = "closed in the body".to_owned();
                return answer;
            }
            Ok(count) => {
                on_bytes(&buffer[..count]);
                answer.body.extend_from_slice(&buffer[..count]);
            }
            Err(err) => {
                answer.error = err.to_string();
                return answer;
            }
        }
    }
    answer.complete = true;
    answer
}
