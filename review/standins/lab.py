"""Stand-ins of the platform for the scripts of the review: store, replicas, clients, and the processes under test.

Only the standard library is used. All addresses are loopback addresses, all ports are free ones.
"""
import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/release/carobwick-serve"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of sites/gietijzer-net.toml as SYSTEM.md states them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoveryS": 12, "passMs": 120,
    "retryAfterS": 0, "fencingEnabled": "false", "leaseMs": 3000, "thawMs": 300, "ceilingWindowS": 5,
    "ceilingOvershoot": 1.1,
}
ZONES = ["fl-gent", "fl-brugge", "fl-kortrijk"]
HOST = "ficu95.example"


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def loopback_ip(index):
    """Returns an address of this run's own in 127.0.0.0/8."""
    pid = os.getpid()
    return f"127.{1 + (pid >> 8) % 250}.{pid % 256}.{10 + index}"


def free_ports(ip, count):
    """Returns the first of `count` neighbouring ports that are free."""
    for _ in range(200):
        first = random.randrange(20_000, 60_000)
        held = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind((ip, port))
                held.append(sock)
            return first
        except OSError:
            continue
        finally:
            for sock in held:
                sock.close()
    raise RuntimeError("no free ports")


async def read_message(reader):
    """Reads one HTTP message; returns the first line, the headers in lower case and the body, or None."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def message(status, headers=(), body=b"", reason="Status"):
    """Returns an HTTP response with a length."""
    lines = [f"HTTP/1.1 {status} {reason}", *[f"{name}: {value}" for name, value in headers]]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.silent = False
        self.held = []

    async def start(self):
        ip = loopback_ip(200)
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        asyncio.create_task(self.expire_loop())

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.02)
            await self.expire()

    async def expire(self):
        now = time.monotonic()
        ended = [lease for lease, (until, _) in self.leases.items() if until <= now]
        for lease in ended:
            del self.leases[lease]
            for key in [key for key, item in self.items.items() if item["lease"] == lease]:
                await self.remove(key)

    async def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))
        async with self.changed:
            self.changed.notify_all()

    async def remove(self, key):
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self.history.append(
                (self.revision, key, {"key": key, "revision": self.revision, "deleted": True}))
            async with self.changed:
                self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                if self.silent:
                    # A channel on which a response is lost returns nothing further.
                    await reader.read()
                    return
                line, _, body = request
                method, target, _ = line.split(" ", 2)
                status, value = await self.answer(method, target, body)
                if self.silent:
                    await reader.read()
                    return
                text = json.dumps(value).encode()
                writer.write(message(status, [("Content-Type", "application/json"), ("Store-Era", 1)], text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        from urllib.parse import parse_qs, urlsplit
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path
        await asyncio.sleep(0.004)
        await self.expire()
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {"at": self.revision})
        if path == "/v1/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            return 200, {"items": page, "hasMore": len(keys) > 500, "at": self.revision}
        if path == "/v1/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
            while True:
                events = [event for revision, key, event in self.history
                          if revision > after and key.startswith(query["prefix"])]
                if events or time.monotonic() >= until:
                    return 200, {"events": events, "at": self.revision}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
                    except asyncio.TimeoutError:
                        pass
        if path == "/v1/kv-txn":
            body = json.loads(body)
            for row in body["expected"]:
                current = self.items.get(row["key"], {"revision": 0})["revision"]
                if current != row["revision"]:
                    rows = [self.items[r["key"]] for r in body["expected"] if r["key"] in self.items]
                    return 412, {"items": rows}
            if any(row["lease"] and row["lease"] not in self.leases for row in body["write"]):
                return 404, {}
            for row in body["write"]:
                await self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
            for key in body["remove"]:
                await self.remove(key)
            return 200, {"revision": self.revision}
        if path == "/v1/kv-lease":
            ttl = json.loads(body)["ttlMs"]
            self.revision += 1
            self.leases[self.revision] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.revision, "ttlMs": ttl}
        name, lease = path.rsplit("/", 1)
        lease = int(lease)
        if lease not in self.leases:
            return 404, {}
        if name == "/v1/kv-keep":
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        self.leases[lease] = (0, 0)
        await self.expire()
        return 200, {}

    async def publish(self, config):
        await self.put("op/config", json.dumps(config).encode())


def config(routes, services, version=3):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
    }


def route(name, kind, service, timeout=6000, attempts=1, resumable=False, sticky=False):
    return {
        "name": name, "hostname": HOST, "prefix": f"/{name}/", "routeType": kind, "timeoutMs": timeout,
        "targetLatencyMs": 800, "targetGapMs": 600, "priority": 1, "service": service,
        "maxAttempts": attempts, "resumable": resumable, "sticky": sticky,
    }


class Replica:
    """A replica that serves one request at a time on a channel. Subclasses say how it answers."""

    def __init__(self, record, store, index, service, zone, slots=64):
        self.record, self.store, self.service, self.zone, self.slots = record, store, service, zone, slots
        self.id = f"i-{random.getrandbits(40):010x}"
        self.name = f"{service}-{index}"
        self.ip = loopback_ip(100 + index)
        self.beat = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.arrivals = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        await self.write_entry()
        self.beats = asyncio.create_task(self.beat_loop())

    def models(self):
        return []

    async def write_entry(self):
        self.beat += 1
        entry = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": self.state, "coldRemainingMs": 0, "sequence": self.beat,
                 "born": self.born, "stage": "mixed", "models": self.models(),
                 "available": {"inMemory": [], "onDisk": []}}
        await self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def beat_loop(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.store.silent:
                await self.write_entry()

    async def serve(self, reader, writer):
        channel = {"earlier": []}
        try:
            while (request := await read_message(reader)) is not None:
                line, headers, body = request
                method, target, _ = line.split(" ", 2)
                if headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(message(421, [("X-Instance-Id", self.id)]))
                else:
                    await self.respond(channel, method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def signed(self, headers):
        return [("X-Attempt-Id", headers["x-attempt-id"]),
                ("X-Server-Signature", f"3e1b.07.{random.getrandbits(40):010x}")]


class Node:
    """A process under test, on an address of its own."""

    def __init__(self, folder, index, store):
        self.name = f"edge-{ZONES[index % 3]}-{1 + index // 3}"
        self.zone = ZONES[index % 3]
        self.ip = loopback_ip(index)
        first = free_ports(self.ip, 5)
        self.frontend, self.ready = (self.ip, first), (self.ip, first + 1)
        settings = {
            "nodeName": self.name, "role": "gateway", "machineClass": "edge", "serves": "edge", "ip": self.ip,
            "zone": self.zone, "region": "be-fl", "listen.frontend": "%s:%d" % self.frontend,
            "listen.ready": "%s:%d" % self.ready, "internalPortRange": f"{first + 2},{first + 4}",
            "limits.cpuFraction": 0.25, "limits.cpuCores": 1, "limits.memoryMb": 260, "limits.maxFds": 4100,
            "limits.linkMbps": 1000.0, "limits.diskMb": 0, "discovery": "platform", "entry": "vip",
            "heartbeatMs": 1200, "bootstrap": "true", "platform.address": store.address,
            "platform.form": "kv",
            **{f"zones.{zone}": "be-fl" for zone in ZONES},
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
        }
        self.settings = Path(folder) / f"{self.name}.conf"
        self.settings.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))
        self.log = Path(folder) / f"{self.name}.log"

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CAROBWICK_NODE_FILE"] = str(self.settings)
        with open(self.log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), cwd=ROOT, env=environment, stdout=log, stderr=log)

    def log_text(self):
        return self.log.read_text() if self.log.exists() else ""

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")
            answer = await read_message(reader)
            writer.close()
            return answer is not None and " 200" in answer[0]
        except OSError:
            return False


def request_bytes(method, path, attempt, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def attempt_id():
    return f"{random.getrandbits(64):016x}"


async def call(node, method, path, headers=(), body=b"", attempt=None, timeout=8.0):
    """Sends one request on a new channel; returns the attempt id, the status (None without an answer) and the body."""
    attempt = attempt or attempt_id()
    try:
        reader, writer = await asyncio.open_connection(*node.frontend)
    except OSError:
        return attempt, None, b""
    try:
        writer.write(request_bytes(method, path, attempt, headers, body))
        answer = await asyncio.wait_for(read_message(reader), timeout)
        if answer is None:
            return attempt, None, b""
        return attempt, int(answer[0].split(" ")[1]), answer[2]
    except (OSError, asyncio.TimeoutError):
        return attempt, None, b""
    finally:
        writer.close()


class Lab:
    """A deployment of a few processes, ended whatever happens."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.nodes = []
        self.temp = tempfile.TemporaryDirectory(prefix="carobwick-review-")

    async def open(self, count, routes, services, replicas):
        self.store = Store(self.record)
        await self.store.start()
        await self.store.publish(config(routes, services))
        self.replicas = replicas(self.store)
        for replica in self.replicas:
            await replica.start()
        self.nodes = [Node(self.temp.name, index, self.store) for index in range(count)]
        for node in self.nodes:
            await node.start()
        for node in self.nodes:
            for _ in range(200):
                if await node.is_ready():
                    break
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError(f"{node.name} is not ready")
        self.record(f"{count} processes are ready, trouble {TROUBLE}")

    def leader(self):
        """Returns the process that holds the leader's entry, as the store shows it."""
        item = self.store.items.get("carobwick/leader")
        if item is None:
            return None
        text = base64.b64decode(item["value"]).decode()
        return next((node for node in self.nodes if f'"{node.name}"' in text), None)

    async def close(self):
        for node in self.nodes:
            if getattr(node, "process", None) and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        self.temp.cleanup()


def main(folder, scenario):
    """Runs a scenario; exits with 1 if it returns a breach of the rule, 0 if none, 2 if it couldn't run."""
    async def run():
        lab = Lab(folder)
        try:
            breach = await asyncio.wait_for(scenario(lab), 110)
        except Exception as err:  # noqa: BLE001 - every failure means that the case couldn't run
            lab.record(f"couldn't run: {err!r}")
            for node in lab.nodes:
                for line in node.log_text().splitlines()[-5:]:
                    lab.record(f"log of {node.name}: {line}")
            print(f"couldn't run: {err!r}", file=sys.stderr)
            return 2
        finally:
            await lab.close()
        lab.record(f"verdict: {breach or 'the rule held'}")
        print(breach or "the rule held")
        return 1 if breach else 0

    if not PROGRAM.exists():
        print("build first: target/release/carobwick-serve is missing", file=sys.stderr)
        sys.exit(2)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(run()))
