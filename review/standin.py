"""Stand-ins for the scripts in review/: the platform's store, upstreams and the gateway's start.

Standard library only, loopback addresses only. The store speaks what PROTOCOL.md says of objects:
lists, watches, POST and PUT. An upstream is a small HTTP/1.1 server; a case gives the function that
answers a request.
"""

import asyncio
import json
import os
import random
import signal
import socket
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START = time.monotonic()
HANDED_OUT = set()


def run(main):
    """Runs a case to its end and exits with its result, 2 if it is told to stop before."""

    async def guarded():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await main()
        except asyncio.CancelledError:
            return 2

    raise SystemExit(asyncio.run(guarded()))


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder, name="record.txt"):
        self.file = open(os.path.join(folder, name), "w", encoding="ascii")

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - START, text))
        self.file.flush()


def free_ports(ip, count):
    """Ports below those that the kernel gives to outgoing connections, each handed out once."""
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        if port in HANDED_OUT:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
        HANDED_OUT.add(port)
        ports.append(port)
    return ports


async def read_head(reader):
    """Returns (start line, [(name, value)]) or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name, value.strip()))
    return lines[0], fields


def field(fields, name, default=None):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


async def read_body(reader, fields):
    if (field(fields, "Transfer-Encoding") or "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(field(fields, "Content-Length", "0"))
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's store: objects by kind and name, one counter of revisions."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.events = []
        self.changed = asyncio.Condition()
        self.server = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    async def put(self, kind, name, spec, status=None):
        async with self.changed:
            self.revision += 1
            old = self.kinds.setdefault(kind, {}).get(name)
            made = old["metadata"]["made"] if old else self.revision
            meta = {"name": name, "revision": self.revision, "made": made, "finalizers": [],
                    "deleting": False}
            obj = {"metadata": meta, "spec": spec, "status": status}
            self.kinds[kind][name] = obj
            self.events.append((self.revision, kind, False, obj))
            self.changed.notify_all()
            return obj

    async def delete(self, kind, name):
        async with self.changed:
            self.revision += 1
            obj = self.kinds[kind].pop(name)
            self.events.append((self.revision, kind, True, obj))
            self.changed.notify_all()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                status, answer = await self.answer(method, target, body)
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        kind = parts[0]
        if method == "POST":
            made = json.loads(body)
            name = made["metadata"]["name"]
            if name in self.kinds.get(kind, {}):
                return 409, self.kinds[kind][name]
            return 201, await self.put(kind, name, made.get("spec"), made.get("status"))
        if method == "GET" and "watch" in args:
            return await self.watch(kind, int(args["watch"]), int(args.get("waitMs", "0")))
        if method == "GET" and len(parts) == 1:
            items = sorted(self.kinds.get(kind, {}).values(), key=lambda o: o["metadata"]["name"])
            return 200, {"items": items, "more": False, "at": self.revision}
        if method == "GET":
            obj = self.kinds.get(kind, {}).get(parts[1])
            return (200, obj) if obj else (404, {})
        return 400, {}

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        async with self.changed:
            while True:
                events = [{"gone": gone, "object": obj} for revision, of, gone, obj in self.events
                          if revision > since and of == kind]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "at": self.revision}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


def config(version, routes, services, **limits):
    bounds = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
              "idleTimeoutMs": 15000}
    bounds.update(limits)
    return {"version": "%08x" % version, "routes": routes, "services": services, "limits": bounds}


def route(host, prefix, kind, service, **more):
    return dict({"host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": 5000,
                 "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 2,
                 "sticky": False, "allowedRegions": []}, **more)


def service(**more):
    return dict({"healthPath": "/health", "maxConns": 330, "protocol": "h1", "tls": False,
                 "coldStartS": 3.0, "coldPerS": 14.0}, **more)


async def list_upstream(store, ident, of, address, zone, state="ready"):
    info = {"service": of, "version": "v1", "zone": zone, "capacity": 9}
    await store.put("servers", ident, {"address": address, "info": info},
                    {"state": state, "callSeq": 1, "coldRemainingMs": 0})


class Gateway:
    """One irisstall-gateway, started with the command and the template of the deploy file."""

    def __init__(self, folder, name, ip, zone, store, seeds=None, zones=None):
        self.name, self.ip, self.zone, self.store = name, ip, zone, store
        ports = free_ports(ip, 5)
        self.front, self.ready, self.directory, self.control, self.admin = ports
        self.seeds = seeds
        self.zones = zones or {"toledo-hall": "erie-west", "alpena-hall": "huron-north"}
        self.folder = folder
        self.process = None

    async def start(self):
        seeds = self.seeds or ["%s:%d" % (self.ip, self.control)]
        path = os.path.join(self.folder, self.name + ".yaml")
        with open(path, "w", encoding="ascii") as out:
            out.write("""name: %s
place: %s
callers: %s:%d
readiness: %s:%d
directory: %s:%d
peer: %s:%d
admin: %s:%d
store: %s
seeds: [%s]
places:
%s
link_mbps: 1000.0
cpu_cores: 0.2
directory_ttl_s: 2
grace_s: 6
retry_ratio: 0.2
retry_constant: 58
retry_window_s: 10
rules: ["base","drain","config","cost","retry","recover","places","platform"]
""" % (self.name, self.zone, self.ip, self.front, self.ip, self.ready, self.ip, self.directory,
                self.ip, self.control, self.ip, self.admin, self.store,
                ",".join('"%s"' % seed for seed in seeds),
                "\n".join("  - place: %s\n    region: %s" % pair for pair in self.zones.items())))
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        program = os.environ.get("GATEWAY", os.path.join(ROOT, "target", "irisstall-gateway"))
        self.process = await asyncio.create_subprocess_exec(
            program, cwd=ROOT, stdout=log, stderr=log,
            env={"IRISSTALL_SETTINGS": path, "PATH": os.environ.get("PATH", "")})
        log.close()

    async def until_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.ip, self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await self.process.wait()
