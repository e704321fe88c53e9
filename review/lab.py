"""Stand-ins for the scripts of the second review: the platform's store, upstreams and clients.

They follow the users' pages (PROTOCOL.md, DEPLOY.md). Everything runs in one process on loopback
addresses; the gateways are started as separate processes. Python's standard library only.
"""
import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

START = time.monotonic()
MB = 1024 * 1024
ZONES = [("toledo-hall", "erie-west"), ("alpena-hall", "huron-north"),
         ("gary-hall", "michigan-south")]
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
GATEWAY = os.path.join(ROOT, "target", "irisstall-gateway")
BROKEN = (asyncio.IncompleteReadError, ConnectionError, OSError)


def now():
    return time.monotonic() - START


class CannotRun(Exception):
    """The case could not run: exit status 2."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.file.write(f"{now():9.3f} {text}\n")

    def say(self, text):
        self.write(text)
        print(f"{now():9.3f} {text}", flush=True)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """The first line and the fields of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_response(reader):
    """Status, fields and body of a response."""
    line, fields = await read_head(reader)
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    else:
        body = await reader.read()
    return int(line.split(" ")[1]), fields, body


class Store:
    """The platform's store: lists, watches, POST, and PUT of a status."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.events = []
        self.waiting = set()

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = f"{ip}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, kind, name, spec, status=None, gone=False):
        self.revision += 1
        value = {"metadata": {"name": name, "revision": self.revision, "made": 1,
                              "finalizers": [], "deleting": False},
                 "spec": spec, "status": status}
        if gone:
            self.objects.pop((kind, name), None)
        else:
            self.objects[(kind, name)] = value
        self.events.append((self.revision, kind, gone, value))
        for event in list(self.waiting):
            event.set()
        return value

    def remove(self, kind, name):
        if (kind, name) in self.objects:
            self.put(kind, name, {}, gone=True)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ")
                status, answer = await self.handle(method, target, body)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except BROKEN:
            pass
        finally:
            writer.close()

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            found = [{"gone": gone, "object": value}
                     for revision, of, gone, value in self.events if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            event = asyncio.Event()
            self.waiting.add(event)
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.discard(event)

    async def handle(self, method, target, body):
        path, _, query = target.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        if method == "GET" and "watch" in options:
            return await self.watch(parts[0], int(options["watch"]),
                                    int(options.get("waitMs", 0)) / 1000)
        if method == "GET":
            items = [value for (kind, name), value in sorted(self.objects.items())
                     if kind == parts[0] and name > options.get("after", "")]
            return 200, {"items": items, "more": False, "at": self.revision}
        given = json.loads(body)
        key = (parts[0], parts[1] if len(parts) > 1 else given["metadata"]["name"])
        if method == "POST" and key in self.objects:
            return 409, self.objects[key]
        if method == "POST":
            return 201, self.put(*key, given["spec"])
        if method == "PUT" and key in self.objects:
            return 200, self.put(*key, self.objects[key]["spec"], given.get("status"))
        return 404, {}


class Upstream:
    """A sound upstream: slots, a queue, Expect-Instance, and an entry in the store.

    `runs` is shared: the attempts that an upstream has begun to work on."""

    def __init__(self, store, record, runs, service, zone, ip, slots=9, work_s=0.1):
        self.store, self.record, self.runs = store, record, runs
        self.service, self.zone, self.ip = service, zone, ip
        self.slots, self.work_s = slots, work_s
        self.lives = 0
        self.writers = set()

    async def start(self, cold_ms=0):
        self.lives += 1
        self.id = f"i-{self.service}-{self.ip.split('.')[-1]}-{id(self) % 9973:04d}-{self.lives}"
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, 0)
        self.address = f"{self.ip}:{self.server.sockets[0].getsockname()[1]}"
        self.alive = True
        self.tell("ready", cold_ms)

    def tell(self, state, cold_ms=0):
        self.store.put("servers", self.id,
                       {"address": self.address,
                        "info": {"service": self.service, "version": "v1", "zone": self.zone,
                                 "capacity": self.slots}},
                       {"state": state, "callSeq": 1, "coldRemainingMs": cold_ms})

    def crash(self):
        """The process is gone: its port refuses, its connections are reset."""
        self.alive = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        life = self.id
        try:
            while True:
                line, fields = await asyncio.wait_for(read_head(reader), 10)
                await self.answer(reader, writer, line, fields, life)
                await writer.drain()
        except (asyncio.TimeoutError, *BROKEN):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, writer, status, extra, body=b""):
        load = f"Server-Load: {self.running},{self.waiting},{self.slots}\r\n"
        head = f"HTTP/1.1 {status} X\r\n{extra}{load}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)

    async def answer(self, reader, writer, line, fields, life):
        size = int(fields.get("content-length", 0))
        while size > 0:
            size -= len(await reader.readexactly(min(size, 1 << 16)))
        attempt = fields.get("attempt-id", "")
        echo = f"Attempt-Id: {attempt}\r\n"
        if line.split(" ")[1] == "/health":
            self.reply(writer, 200, f"Instance-Id: {life}\r\n")
            return
        if fields.get("expect-instance", life) != life:
            self.reply(writer, 421, echo + f"Instance-Id: {life}\r\n")
            return
        if self.waiting >= 3 * self.slots:
            self.reply(writer, 503, echo + "Not-Executed: 1\r\n")
            return
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            self.runs.append((attempt, life, now()))
            self.record.write(f"run {attempt} at {life}")
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.free.release()
        self.reply(writer, 200, echo + f"Response-Signature: s.{attempt}\r\n", attempt.encode())


class Gateway:
    """A machine with one gateway. The platform kills a process over `memory_mb` and starts it again
    after a short delay (DEPLOY.md)."""

    def __init__(self, number, zone, ip, store, record, folder, memory_mb=260):
        self.number, self.zone, self.ip = number, zone, ip
        self.store, self.record, self.folder, self.memory_mb = store, record, folder, memory_mb
        self.ports = {}
        for port in ("callers", "readiness", "directory", "peer", "admin"):
            self.ports[port] = free_port(ip)
        self.own_ends = 0
        self.peak_mb = 0.0
        self.stopping = False

    def address(self, port):
        return f"{self.ip}:{self.ports[port]}"

    def start(self, seeds):
        self.seeds = seeds
        lines = [f"name: front-{self.zone}-{self.number}", f"place: {self.zone}"]
        lines += [f"{port}: {self.address(port)}" for port in self.ports]
        lines += [f"store: {self.store.address}",
                  "seeds: [" + ",".join(f'"{seed}"' for seed in seeds) + "]", "places:"]
        for zone, region in ZONES:
            lines += [f"  - place: {zone}", f"    region: {region}"]
        lines += ["link_mbps: 1000.0", "cpu_cores: 0.2", "directory_ttl_s: 2", "grace_s: 6",
                  "retry_ratio: 0.2", "retry_constant: 58", "retry_window_s: 10",
                  'rules: ["base","drain","config","cost","retry","recover","places","platform"]']
        path = os.path.join(self.folder, f"{self.number}.yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(lines) + "\n")
        log = open(os.path.join(self.folder, f"{self.number}.log"), "ab")
        self.process = subprocess.Popen([GATEWAY, "-c", path], stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log)
        log.close()
        self.record.write(f"gateway {self.number} started")

    def rss_mb(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / MB

    async def watch_memory(self):
        """Resident memory only: bytes in the sockets, which count as well, are left out."""
        while not self.stopping:
            await asyncio.sleep(0.02)
            if self.process.poll() is not None:
                self.record.say(f"gateway {self.number} ended: status {self.process.returncode}")
            else:
                rss = self.rss_mb()
                self.peak_mb = max(self.peak_mb, rss)
                if rss <= self.memory_mb:
                    continue
                self.record.say(f"gateway {self.number} is over its memory: {rss:.0f} MB of "
                                f"{self.memory_mb} MB; the platform kills it")
                self.process.kill()
                self.process.wait()
            self.own_ends += 1
            await asyncio.sleep(0.5)
            if not self.stopping:
                self.start(self.seeds)

    def end(self):
        self.stopping = True
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    async def wait_ready(self, limit_s=8):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ports["readiness"])
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return
            except (asyncio.TimeoutError, *BROKEN):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {self.number} does not become ready")


def make_route(host, prefix, kind, service, timeout_ms):
    return {"host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout_ms,
            "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2,
            "sticky": True, "allowedRegions": []}


def make_config(version, routes, services):
    described = {"healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": False,
                 "coldStartS": 3.0, "coldPerS": 14.0}
    return {"version": f"{version:08x}", "routes": routes,
            "services": {service: described for service in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 64 * MB, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


def main(case, folder):
    """Runs the case; exit status 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    if not os.access(GATEWAY, os.X_OK):
        print("target/irisstall-gateway is missing: build the deploy file first")
        sys.exit(2)
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))  # runs the clean-up
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as work:
        try:
            broken = asyncio.run(asyncio.wait_for(case(record, work, trouble), 115))
        except (CannotRun, asyncio.TimeoutError) as error:
            record.say(f"could not run: {error!r}")
            sys.exit(2)
    record.say("RULE BROKEN" if broken else "the rule held")
    sys.exit(1 if broken else 0)
