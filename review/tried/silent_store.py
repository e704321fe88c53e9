"""The open connections to the platform's store go silent between two changes of the configuration."""

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
# Bounds of padana-ricambi.
CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
MARGIN_S = 0.1  # for the stand-ins' own delays
GATEWAYS = 3

record = standin.Record(HERE, "silent-store-record.txt")


class Link:
    """Carries connections to the store. Open ones can go silent for good; new ones work."""

    def __init__(self, target):
        self.target = target
        self.generation = 0
        self.opened = 0

    async def serve(self, reader, writer):
        generation = self.generation
        self.opened += 1
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(self.carry(generation, reader, to_writer),
                                 self.carry(generation, to_reader, writer))
        except asyncio.CancelledError:
            pass

    async def carry(self, generation, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if generation != self.generation:
                    continue  # dropped; nothing is closed
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        if generation == self.generation:
            writer.close()

    def silence(self):
        self.generation += 1


class Upstream:
    def __init__(self, ident, of):
        self.ident, self.of = ident, of
        self.runs = {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await standin.read_head(reader)
                if head is None:
                    break
                line, fields = head
                await standin.read_body(reader, fields)
                if line.split(" ")[1] == "/health":
                    writer.write(("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                  % self.ident).encode())
                    continue
                attempt = standin.field(fields, "Attempt-Id")
                self.runs[attempt] = self.of
                writer.write(("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\n"
                              "Content-Length: 2\r\n\r\nok" % (attempt, attempt)).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def client(gateway, state, sent):
    number = 0
    while not state["over"]:
        number += 1
        ident = "%s-%d" % (gateway.name, number)
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
            sent[ident] = time.monotonic()
            writer.write(("POST /post/%d HTTP/1.1\r\nHost: banco.example\r\nAttempt-Id: %s\r\n"
                          "Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                          % (number % 20, ident)).encode())
            await asyncio.wait_for(standin.read_head(reader), 3)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.04)


async def main():
    work = tempfile.mkdtemp()
    gateways = []
    state = {"over": False}
    try:
        store = standin.Store()
        port, link_port, *server_ports = standin.free_ports("127.0.0.1", 8)
        await store.start("127.0.0.1", port)
        link = Link(port)
        await asyncio.start_server(link.serve, "127.0.0.1", link_port)
        upstreams = [Upstream("i-%08x" % (0x7F3A91C2 + n), ("banco", "caisse")[n % 2])
                     for n in range(6)]
        zones = ("milano-a", "padova-a", "torino-a")
        for upstream, server_port in zip(upstreams, server_ports):
            await asyncio.start_server(upstream.serve, "127.0.0.1", server_port)
        services = {"banco": standin.service(), "caisse": standin.service()}
        route = standin.route("banco.example", "/post/", "unsafe", "banco")
        await store.put("config", "main", standin.config(7, {"r-post": route}, services))
        for n, (upstream, server_port) in enumerate(zip(upstreams, server_ports)):
            await standin.list_upstream(store, upstream.ident, upstream.of,
                                        "127.0.0.1:%d" % server_port, zones[n // 2])
        regions = {"milano-a": "lombardia", "padova-a": "veneto", "torino-a": "piemonte"}
        for n in range(GATEWAYS):
            seeds = ["%s:%d" % (g.ip, g.control) for g in gateways[:1]] or None
            gateway = standin.Gateway(work, "front-%s-1" % zones[n], "127.0.0.1", zones[n],
                                      "127.0.0.1:%d" % link_port, seeds, regions)
            gateways.append(gateway)
            await gateway.start()
        for gateway in gateways:
            if not await gateway.until_ready():
                record("%s is not ready" % gateway.name)
                return 2
        await asyncio.sleep(6)
        sent = {}
        tasks = [asyncio.create_task(client(g, state, sent)) for g in gateways]
        await store.put("config", "main", standin.config(
            9, {"r-post": dict(route, timeoutMs=4000)}, services))
        record("version 9 acknowledged")
        await asyncio.sleep(0.7)
        if TROUBLE:
            link.silence()
            record("the open connections to the store are silent from now on; new ones work")
        silent = time.monotonic()
        await asyncio.sleep(0.2)
        await store.put("config", "main", standin.config(
            12, {"r-post": dict(route, service="caisse")}, services))
        acked = time.monotonic()
        record("version 12 acknowledged: /post/ goes to caisse, not to banco")
        await asyncio.sleep(6)
        state["over"] = True
        await asyncio.gather(*tasks)
        bound = max(acked + CONFIG_APPLY_S, silent + CONTACT_S if TROUBLE else 0) + MARGIN_S
        runs = {}
        for upstream in upstreams:
            runs.update(upstream.runs)
        old = sorted((sent[i], i) for i, of in runs.items() if of == "banco" and sent[i] > acked)
        late = [(at, i) for at, i in old if at > bound]
        for gateway in gateways:
            mine = [at for at, i in old if i.startswith(gateway.name)]
            record("%s: the last request that banco ran was sent %.2f s after the acknowledgement"
                   % (gateway.name, mine[-1] - acked if mine else -1))
        record("bound: %.2f s after the acknowledgement; run by banco later: %d of %d"
               % (bound - acked, len(late), sum(1 for at in sent.values() if at > bound)))
        for at, ident in late[:3] + late[-1:]:
            record("BROKEN: %s sent %.2f s after the acknowledgement, run by banco"
                   % (ident, at - acked))
        return 1 if late else 0
    except OSError as error:
        record("could not run: %r" % error)
        return 2
    finally:
        state["over"] = True
        for gateway in gateways:
            await gateway.end()
        shutil.rmtree(work)


standin.run(main)
