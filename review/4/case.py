"""Case 4: upstreams crash while large requests are sent; see claim.txt."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import lab  # noqa: E402

HOST = "tally.example"
BODY = 48 * lab.MB       # maxBodyBytes is 64 MiB
CRASHED = 2              # of 14: 0.143, the kinds page allows 0.15
CRASH_S = 4.5
LAPSE_S = 4.5            # three heartbeats of 1.5 s
EPISODES = 10
EPISODE_S = 9.0
READERS = 40
LOST_MAX = 3             # LOST: "More than three times"
ENOUGH = 10              # the run ends early once so many are without an answer


class Case:
    def __init__(self, record):
        self.record = record
        self.random = random.Random(4)
        self.runs = []
        self.number = 0
        self.lost = []
        self.fresh = []
        self.uploads = {}
        self.over = False

    def attempt_id(self, kind):
        self.number += 1
        return f"{kind}{self.number:06d}"

    async def read(self, gateway):
        """A client that keeps its connection for many requests, as PROTOCOL.md allows."""
        while not self.over:
            try:
                reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports["callers"])
            except OSError:
                await asyncio.sleep(0.1)
                continue
            earlier = 0
            while not self.over:
                attempt = self.attempt_id("r")
                head = (f"GET /counts/{self.random.randrange(87)} HTTP/1.1\r\nHost: {HOST}\r\n"
                        f"Attempt-Id: {attempt}\r\nAffinity-Key: {self.random.randrange(87)}\r\n"
                        "Deadline-Ms: 2500\r\n\r\n")
                try:
                    writer.write(head.encode())
                    self.record.write(f"sent {attempt} on a connection with {earlier} earlier")
                    status, fields, _ = await asyncio.wait_for(lab.read_response(reader), 4)
                except (asyncio.TimeoutError, *lab.BROKEN) as error:
                    self.record.write(f"no answer to {attempt}: {type(error).__name__}")
                    (self.lost if earlier > 0 else self.fresh).append(attempt)
                    break
                self.record.write(f"answered {attempt}: {status}")
                earlier += 1
                if fields.get("connection", "").lower() == "close":
                    break
                await asyncio.sleep(self.random.uniform(0.0, 0.1))
            writer.close()

    async def upload(self, gateway):
        """A client that sends one large request after the other, each on a new connection."""
        chunk = b"x" * lab.MB
        while not self.over:
            attempt = self.attempt_id("u")
            head = (f"POST /postings/{attempt} HTTP/1.1\r\nHost: {HOST}\r\n"
                    f"Attempt-Id: {attempt}\r\nAffinity-Key: {self.random.randrange(999)}\r\n"
                    f"Deadline-Ms: 3000\r\nContent-Length: {BODY}\r\n\r\n")
            result = "no answer"
            try:
                reader, writer = await asyncio.open_connection(gateway.ip, gateway.ports["callers"])
                self.record.write(f"sent {attempt} with {BODY} bytes")
                writer.write(head.encode())
                for _ in range(BODY // len(chunk)):
                    writer.write(chunk)
                    await writer.drain()
                status, _, _ = await asyncio.wait_for(lab.read_response(reader), 4)
                result = str(status)
                writer.close()
            except (asyncio.TimeoutError, *lab.BROKEN):
                pass
            self.record.write(f"answered {attempt}: {result}")
            self.uploads[result] = self.uploads.get(result, 0) + 1
            await asyncio.sleep(0.05)

    async def lapse(self, upstream, entry):
        """The entry goes after three heartbeats of silence."""
        await asyncio.sleep(LAPSE_S)
        upstream.store.remove("servers", entry)

    async def crash_some(self, upstreams, gateway):
        struck = self.random.sample(upstreams, CRASHED)
        self.record.say(f"{CRASHED} of {len(upstreams)} upstreams crash: gateway 1 uses "
                        f"{gateway.rss_mb():.0f} MB")
        for upstream in struck:
            upstream.crash()
            asyncio.ensure_future(self.lapse(upstream, upstream.id))
        await asyncio.sleep(CRASH_S)
        for upstream in struck:
            await upstream.start(cold_ms=3000)
        await asyncio.sleep(3)
        for upstream in struck:
            upstream.tell("ready")
        self.record.write("they are back, under new ids, and warm")

    def judge(self, gateways):
        ran = {attempt for attempt, _, _ in self.runs}
        lost = [attempt for attempt in self.lost if attempt in ran]
        self.record.say(f"without an answer: {len(self.lost)} requests of kept connections, "
                        f"{len(self.fresh)} of new ones")
        for gateway in gateways:
            self.record.say(f"gateway {gateway.number}: ended by itself {gateway.own_ends} times, "
                            f"peak {gateway.peak_mb:.0f} MB")
        self.record.say(f"large requests by answer: {self.uploads}")
        self.record.say(f"{len(lost)} requests of kept connections that a sound upstream ran got no "
                        f"answer (the rule allows {LOST_MAX}): {' '.join(lost[:20])}")
        return len(lost) > LOST_MAX


async def case(record, work, trouble):
    this = Case(record)
    store = lab.Store()
    net = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}."
    await store.start(net + "250")
    readers = [lab.Upstream(store, record, this.runs, "tallyboard", lab.ZONES[i % 3][0],
                            f"{net}{20 + i}", slots=9, work_s=0.4) for i in range(12)]
    takers = [lab.Upstream(store, record, this.runs, "certvault", lab.ZONES[i % 3][0],
                           f"{net}{40 + i}", slots=3, work_s=0.05) for i in range(14)]
    for upstream in readers + takers:
        await upstream.start()
    routes = {"r-read": lab.make_route(HOST, "/counts/", "safe", "tallyboard", 1500),
              "r-post": lab.make_route(HOST, "/postings/", "unsafe", "certvault", 3000)}
    store.put("config", "main", lab.make_config(1, routes, ["tallyboard", "certvault"]))
    gateways = [lab.Gateway(i + 1, lab.ZONES[i][0], f"{net}{i + 1}", store, record, work)
                for i in range(3)]
    tasks = []
    try:
        for gateway in gateways:
            gateway.start([gateway.address("peer") for gateway in gateways])
        for gateway in gateways:
            await gateway.wait_ready()
            tasks.append(asyncio.ensure_future(gateway.watch_memory()))
        tasks += [asyncio.ensure_future(this.read(gateways[0])) for _ in range(READERS)]
        tasks.append(asyncio.ensure_future(this.upload(gateways[0])))
        await asyncio.sleep(5)
        for _ in range(EPISODES):
            begun = lab.now()
            if trouble:
                await this.crash_some(takers, gateways[0])
            await asyncio.sleep(max(0, EPISODE_S - (lab.now() - begun)))
            if len(this.lost) > ENOUGH:
                break
        this.over = True
        await asyncio.sleep(1)
        return this.judge(gateways)
    finally:
        this.over = True
        for gateway in gateways:
            if hasattr(gateway, "process"):
                gateway.end()
        for task in tasks:
            task.cancel()


lab.main(case, FOLDER)
