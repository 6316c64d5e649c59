"""A request that crashes replicas comes again after each process has been stopped and started in turn."""
import asyncio
import random
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import lab

DEADLY = "/read/99"
TRAFFIC_AT_S = 10.0
# "The replica is back after some seconds."
DOWN_S = 2.0
# stableWindowMs.
WINDOW_S = 3.0
# Time from the start of a process until the deadly request comes at it; it has been in touch for 3 s by then.
WAIT_S = 4.5
NODES = 5
REPLICAS = 4
# Retries that may still reach replicas.
MOST_RETRIES = 3


class Plain(lab.Replica):
    """A replica that crashes when it begins to run the deadly request, and is back under a new id."""

    def __init__(self, record, store, index, zone, crashes):
        super().__init__(record, store, index, "balie", zone, slots=6)
        self.crashes = crashes
        self.writers = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def respond(self, channel, method, target, headers, body, writer):
        attempt = headers["x-attempt-id"]
        if target == DEADLY:
            self.record(f"{self.name} ({self.id}) begins to run the deadly request {attempt} and crashes")
            self.crashes.append((self.record.now(), attempt))
            asyncio.create_task(self.crash())
            await asyncio.sleep(DOWN_S)
            return
        await asyncio.sleep(0.03)
        writer.write(lab.message(200, self.signed(headers), b"x" * 800))

    async def crash(self):
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        old = self.id
        await asyncio.sleep(DOWN_S)
        self.id, self.beat, self.born = f"i-{random.getrandbits(40):010x}", 0, int(time.time() * 1000)
        self.record(f"{self.name} is back as {self.id}")
        await self.start()
        # The entry of a silent replica is removed after three heartbeats.
        await asyncio.sleep(3.6 - DOWN_S)
        await self.store.remove(f"servers/{old}")


async def restart(run, node):
    run.record(f"SIGTERM to {node.name}")
    node.process.send_signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(node.process.wait(), lab.BOUNDS["graceS"])
    except asyncio.TimeoutError:
        node.process.kill()
        await node.process.wait()
    await asyncio.sleep(0.3)
    await node.start()
    run.record(f"{node.name} starts again")


async def scenario(run):
    crashes, sent, answers = [], {}, []
    await run.open(
        NODES, [lab.route("read", "idempotent", "balie", 3000, attempts=2)],
        [{"name": "balie", "healthPath": "/healthz", "maxConnections": 110}],
        lambda store: [Plain(run.record, store, index, lab.ZONES[index % 3], crashes) for index in range(REPLICAS)])
    started = {node.name: 0.0 for node in run.nodes}

    async def send_deadly(node):
        attempt = lab.attempt_id()
        sent[attempt] = (run.record.now(), run.record.now() - started[node.name])
        run.record(f"client sends the deadly request {attempt} to {node.name}")
        _, status, _ = await lab.call(node, "GET", DEADLY, [("X-Deadline-Ms", 3000)], attempt=attempt, timeout=4)
        run.record(f"client gets {status} for {attempt}")

    async def send_sound(node):
        path = f"/read/{random.randrange(40)}"
        _, status, _ = await lab.call(node, "GET", path, [("X-Deadline-Ms", 3000)], timeout=4)
        answers.append(status)

    async def keep_sending():
        while True:
            for node in run.nodes:
                asyncio.create_task(send_sound(node))
            await asyncio.sleep(0.1)

    await asyncio.sleep(TRAFFIC_AT_S - run.record.now())
    sound = asyncio.create_task(keep_sending())
    for number in range(10):
        await send_deadly(run.nodes[number % NODES])
        await asyncio.sleep(0.8)
    run.record(f"{len(crashes)} crashes so far")
    third = crashes[2][0]
    for node in run.nodes:
        if lab.TROUBLE:
            await restart(run, node)
            started[node.name] = run.record.now()
        await asyncio.sleep(WAIT_S)
        for _ in range(3):
            await send_deadly(node)
            await asyncio.sleep(1)
    sound.cancel()
    await asyncio.sleep(3)
    # Sent later than stableWindowMs after the third crash, by a process that had run for that long.
    late = [attempt for _, attempt in crashes
            if sent[attempt][0] > third + WINDOW_S and sent[attempt][1] > WINDOW_S]
    # The first send of each request of the client is left out here.
    own = len(late) - len(set(late))
    run.record(f"{len(crashes)} crashes, {len(late)} of them counted, {own} of these sent once more by a process; "
               f"{len(answers)} sound requests sent, {answers.count(200)} answered 200")
    if own > MOST_RETRIES:
        return (f"BUDGET: the request that crashes replicas has reached {len(late)} more of them, {own} of these "
                "as a process sent it once more")
    return None


if __name__ == "__main__":
    lab.main(FOLDER, scenario)
