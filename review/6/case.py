"""Case 6: all upstreams of a service are down together for some seconds; see claim.txt."""
import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import lab  # noqa: E402

HOST = "tally.example"
ZONE = lab.ZONES[0][0]
DOWN_S = 4.5             # cold_return, for_s in the site file
BEFORE_S = 6
AFTER_S = 70             # after they are warm again
CLIENTS = 36             # for each kind of request
KINDS = ("count-read", "index-read")


class Case:
    def __init__(self, record, net):
        self.record, self.net = record, net
        self.random = random.Random(6)
        self.runs = []
        self.number = 0
        self.over = False
        self.ends = []

    def path(self, kind):
        return f"/counts/{self.random.randrange(87)}" if kind == KINDS[0] else "/archive/index"

    async def send(self, kind, client, gateway):
        """One request on a new connection; the status, and the seconds to wait before another."""
        self.number += 1
        attempt = f"q{self.number:06d}"
        head = (f"GET {self.path(kind)} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {attempt}\r\n"
                "Deadline-Ms: 2500\r\n\r\n")
        status, wait_s = "none", 0.4
        try:
            reader, writer = await asyncio.open_connection(
                gateway.ip, gateway.ports["callers"], local_addr=(f"{self.net}{100 + client}", 0))
            writer.write(head.encode())
            status, fields, _ = await asyncio.wait_for(lab.read_response(reader), 4)
            wait_s = float(fields.get("retry-after", 0.05))
            writer.close()
        except (asyncio.TimeoutError, *lab.BROKEN):
            pass
        self.record.write(f"{kind} {attempt} at gateway {gateway.number}: {status}")
        self.ends.append((lab.now(), kind, status))
        return wait_s

    async def client(self, kind, client, gateways):
        """Heeds Retry-After up to a third of its deadline, as PROTOCOL.md says."""
        while not self.over:
            wait_s = await self.send(kind, client, self.random.choice(gateways))
            await asyncio.sleep(min(wait_s, 2.5 / 3))

    def share(self, kinds):
        statuses = [status for _, kind, status in self.ends if kind in kinds]
        served = sum(status == 200 for status in statuses)
        self.record.say(f"{' and '.join(kinds)}: {served} of {len(statuses)} served")
        return served / max(1, len(statuses))

    def judge(self, back):
        for kind in KINDS:
            later = [status for at, of, status in self.ends if of == kind and at > back + 5]
            self.record.say(f"{kind}, from 5 s after all upstreams were back: "
                            f"{sum(status == 200 for status in later)} of {len(later)} served")
        every = self.share(KINDS)
        least = min(self.share([kind]) for kind in KINDS)
        self.record.say(f"the least served kind: {least:.3f}, all: {every:.3f}")
        return least < every / 4


async def case(record, work, trouble):
    net = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}."
    this = Case(record, net)
    store = lab.Store()
    await store.start(net + "250")
    readers = [lab.Upstream(store, record, this.runs, "tallyboard", lab.ZONES[i % 3][0],
                            f"{net}{20 + i}", slots=9, work_s=0.1) for i in range(6)]
    archive = [lab.Upstream(store, record, this.runs, "certvault", ZONE, f"{net}{40 + i}", slots=9,
                            work_s=0.8) for i in range(12)]
    for upstream in readers + archive:
        await upstream.start()
    routes = {"r-read": lab.make_route(HOST, "/counts/", "safe", "tallyboard", 1500),
              "r-index": lab.make_route(HOST, "/archive/", "safe", "certvault", 1500)}
    store.put("config", "main", lab.make_config(1, routes, ["tallyboard", "certvault"]))
    gateways = [lab.Gateway(i + 1, lab.ZONES[i][0], f"{net}{i + 1}", store, record, work)
                for i in range(3)]
    tasks = []
    try:
        for gateway in gateways:
            gateway.start([gateway.address("peer") for gateway in gateways])
        for gateway in gateways:
            await gateway.wait_ready()
        for client in range(CLIENTS):
            for kind in KINDS:
                tasks.append(asyncio.ensure_future(this.client(kind, client, gateways)))
        await asyncio.sleep(BEFORE_S)
        struck = [upstream for upstream in readers + archive if upstream.zone == ZONE]
        entries = [upstream.id for upstream in struck]
        if trouble:
            record.say(f"the {len(struck)} upstreams of {ZONE} go down")
            for upstream in struck:
                upstream.crash()
        await asyncio.sleep(DOWN_S)
        if trouble:
            for upstream, entry in zip(struck, entries):
                store.remove("servers", entry)
                await upstream.start(cold_ms=3000)
            record.say("they are back, cold, under new ids")
        await asyncio.sleep(3)
        if trouble:
            for upstream in struck:
                upstream.tell("ready")
            record.say("they are warm")
        back = lab.now()
        await asyncio.sleep(AFTER_S)
        this.over = True
        await asyncio.sleep(1)
        return this.judge(back)
    finally:
        this.over = True
        for gateway in gateways:
            if hasattr(gateway, "process"):
                gateway.end()
        for task in tasks:
            task.cancel()


lab.main(case, FOLDER)
