"""A configuration moves a route to a service whose healthPath is long."""

import asyncio
import os
import shutil
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GATEWAYS = 3
UPSTREAMS = 12  # six of each service, three of these in each zone
TOKEN_BYTES = 600  # of a signed token in a path; servers take 8,000 bytes and more
RESTART_S = 1.0  # "starts again after a short delay"
CHANGE_AT_S = 4.0
LENGTH_S = 24.0
ENDS = 3  # "end by themselves three times in the day"
MACHINES = 2  # "on a tenth of the machines in use (two at least)"

record = standin.Record(HERE)


class Upstream:
    """Tells its load with the pace of its work as the fourth figure."""

    def __init__(self, ident):
        self.ident = ident
        self.probes = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await standin.read_head(reader)
                if head is None:
                    break
                line, fields = head
                await standin.read_body(reader, fields)
                if line.split(" ")[1].split("?")[0] == "/health":
                    self.probes += 1
                    writer.write(("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nServer-Load: 1,0,9,100\r\n"
                                  "Content-Length: 0\r\n\r\n" % self.ident).encode())
                    continue
                attempt = standin.field(fields, "Attempt-Id")
                await asyncio.sleep(0.02)
                writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\n"
                              "Server-Load: 1,0,9,100\r\nContent-Length: 2\r\n\r\nok"
                              % (attempt, attempt)).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def keep_running(gateway, ends, state):
    """What the platform does: a process that ends starts again after a short delay."""
    while True:
        code = await gateway.process.wait()
        if state["over"]:
            return
        ends[gateway.name] += 1
        record("%s ended by itself, status %d, end %d" % (gateway.name, code, ends[gateway.name]))
        await asyncio.sleep(RESTART_S)
        await gateway.start()
        record("%s started again" % gateway.name)


async def client(gateways, number, state, counts):
    turn = number
    while not state["over"]:
        turn += 1
        gateway = gateways[turn % len(gateways)]
        ident = "c%d-%05d" % (number, turn)
        result = "no connection"
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(gateway.ip, gateway.front), 1)
            writer.write(("GET /read/%d HTTP/1.1\r\nHost: lift.example\r\nAttempt-Id: %s\r\n"
                          "Affinity-Key: %d\r\nDeadline-Ms: 2500\r\nConnection: close\r\n\r\n"
                          % (turn % 40, ident, turn % 40)).encode())
            result = "no answer"
            head = await asyncio.wait_for(standin.read_head(reader), 3)
            if head is not None:
                result = head[0].split(" ")[1]
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        counts[result] = counts.get(result, 0) + 1
        await asyncio.sleep(0.1)


async def main():
    work = tempfile.mkdtemp()
    gateways = []
    state = {"over": False}
    counts = {}
    try:
        store = standin.Store()
        port, *server_ports = standin.free_ports("127.0.0.1", 1 + UPSTREAMS)
        await store.start("127.0.0.1", port)
        upstreams = [Upstream("i-%08x" % (0x7F3A91C2 + number)) for number in range(UPSTREAMS)]
        for upstream, server_port in zip(upstreams, server_ports):
            await asyncio.start_server(upstream.serve, "127.0.0.1", server_port)
        route = standin.route("lift.example", "/read/", "safe", "taller", sticky=True)
        services = {
            "taller": standin.service(),
            "biblioteca": standin.service(healthPath="/health?token=" + "t" * TOKEN_BYTES),
        }
        await store.put("config", "main", standin.config(7, {"r-read": route}, services))
        for number, (upstream, server_port) in enumerate(zip(upstreams, server_ports)):
            await standin.list_upstream(store, upstream.ident, ("taller", "biblioteca")[number % 2],
                                        "127.0.0.1:%d" % server_port,
                                        ("toledo-hall", "alpena-hall")[number // (UPSTREAMS // 2)])
        ends = {}
        for number in range(GATEWAYS):
            zone = ("toledo-hall", "alpena-hall")[number % 2]
            seeds = ["%s:%d" % (g.ip, g.control) for g in gateways[:1]] or None
            gateway = standin.Gateway(work, "front-%s-%d" % (zone, number), "127.0.0.1", zone,
                                      "127.0.0.1:%d" % port, seeds)
            gateways.append(gateway)
            ends[gateway.name] = 0
            await gateway.start()
        for gateway in gateways:
            if not await gateway.until_ready():
                record("%s is not ready" % gateway.name)
                return 2
        tasks = [asyncio.create_task(keep_running(gateway, ends, state)) for gateway in gateways]
        tasks += [asyncio.create_task(client(gateways, number, state, counts))
                  for number in range(6)]
        begun = time.monotonic()
        await asyncio.sleep(CHANGE_AT_S)
        record("until the change: ends %s, answers %s, probes %d" % (
            sum(ends.values()), counts, sum(u.probes for u in upstreams)))
        if sum(ends.values()):
            return 2
        counts.clear()
        change = {"service": "biblioteca"} if TROUBLE else {"timeoutMs": 4000}
        await store.put("config", "main", standin.config(
            12, {"r-read": dict(route, **change)}, services))
        record("operator's configuration 0000000c acknowledged: %s; healthPath of biblioteca has %d"
               " bytes in all versions" % (change, len(services["biblioteca"]["healthPath"])))
        await asyncio.sleep(LENGTH_S - (time.monotonic() - begun))
        state["over"] = True
        record("after the change: ends %s, answers %s" % (ends, counts))
        broken = [name for name, count in ends.items() if count >= ENDS]
        if len(broken) >= MACHINES:
            record("BROKEN: %d of %d processes ended by themselves %d times or more" % (
                len(broken), GATEWAYS, ENDS))
        return 1 if len(broken) >= MACHINES else 0
    except OSError as error:
        record("could not run: %r" % error)
        return 2
    finally:
        state["over"] = True
        for gateway in gateways:
            await gateway.end()
            with open(os.path.join(work, gateway.name + ".log"), encoding="latin-1") as log:
                for line in sorted({line.rstrip() for line in log if "BUG" in line}):
                    record("%s wrote: %s" % (gateway.name, line))
        shutil.rmtree(work)


standin.run(main)
