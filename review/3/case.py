"""One upstream of seven fails part of the requests that it runs, with 503."""

import asyncio
import os
import random
import shutil
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
UPSTREAMS = 7  # one of them fails: a share of 0.14; srv_grey has 0.15
FAILING_PART = 0.4  # of its requests, as srv_grey has
CLIENTS = 6
REQUESTS = 50  # of each client

record = standin.Record(HERE)
random.seed(3)


class Upstream:
    """Begins to work on each request. One that is grey fails part of them after that."""

    def __init__(self, ident, grey):
        self.ident = ident
        self.grey = grey
        self.runs = {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await standin.read_head(reader)
                if head is None:
                    break
                line, fields = head
                body = await standin.read_body(reader, fields)
                if line.split(" ")[1] == "/health":
                    writer.write(("HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                  % self.ident).encode())
                    continue
                attempt = standin.field(fields, "Attempt-Id")
                self.runs[attempt] = body.decode()
                await asyncio.sleep(0.02)
                fails = self.grey and random.random() < FAILING_PART
                status = "503 Service Unavailable" if fails else "200 OK"
                record("%s ran id=%s %s and answers %s" % (
                    self.ident, attempt, body.decode(), status))
                writer.write(("HTTP/1.1 %s\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\n"
                              "Server-Load: 1,0,9\r\nContent-Length: 2\r\n\r\nok"
                              % (status, attempt, attempt)).encode())
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def send(gateway, ident, posting):
    """Returns the status line and the fields of the answer."""
    reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
    body = posting.encode()
    writer.write(("POST /post/1 HTTP/1.1\r\nHost: tally.example\r\nAttempt-Id: %s\r\n"
                  "Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
                  % (ident, len(body))).encode() + body)
    head = await asyncio.wait_for(standin.read_head(reader), 5)
    writer.close()
    return head


async def client(gateways, number, answers):
    """Posts, and repeats a posting once after 503, as that promises that it has not run."""
    for turn in range(REQUESTS):
        posting = "posting-%d-%d" % (number, turn)
        for attempt in (1, 2):
            ident = "a-%d-%d-%d" % (number, turn, attempt)
            gateway = gateways[(number + turn + attempt) % len(gateways)]
            head = await send(gateway, ident, posting)
            if head is None:
                break
            answers[ident] = head[0]
            if " 503 " not in head[0]:
                break
            record("client gets %s for id=%s %s%s" % (
                head[0], ident, posting,
                "" if standin.field(head[1], "Not-Executed") is None else ", Not-Executed"))
            if attempt == 1:
                await asyncio.sleep(float(standin.field(head[1], "Retry-After", "0.1")))
        await asyncio.sleep(0.02)


async def main():
    work = tempfile.mkdtemp()
    gateways = []
    try:
        store = standin.Store()
        port, *server_ports = standin.free_ports("127.0.0.1", 1 + UPSTREAMS)
        await store.start("127.0.0.1", port)
        upstreams = [Upstream("i-%08x" % (0x7F3A91C2 + number), TROUBLE and number == 0)
                     for number in range(UPSTREAMS)]
        for upstream, server_port in zip(upstreams, server_ports):
            await asyncio.start_server(upstream.serve, "127.0.0.1", server_port)
        routes = {"r-post": standin.route("tally.example", "/post/", "unsafe", "tallyboard")}
        await store.put("config", "main", standin.config(
            7, routes, {"tallyboard": standin.service()}))
        for number, (upstream, server_port) in enumerate(zip(upstreams, server_ports)):
            await standin.list_upstream(store, upstream.ident, "tallyboard",
                                        "127.0.0.1:%d" % server_port,
                                        ("toledo-hall", "alpena-hall")[number % 2])
        for number in range(2):
            zone = ("toledo-hall", "alpena-hall")[number]
            seeds = ["%s:%d" % (g.ip, g.control) for g in gateways] or None
            gateway = standin.Gateway(work, "front-%s-1" % zone, "127.0.0.1", zone,
                                      "127.0.0.1:%d" % port, seeds)
            gateways.append(gateway)
            await gateway.start()
        for gateway in gateways:
            if not await gateway.until_ready():
                record("%s is not ready" % gateway.name)
                return 2
        await asyncio.sleep(1)
        answers = {}
        await asyncio.gather(*[client(gateways, number, answers) for number in range(CLIENTS)])
        ran = {}
        for upstream in upstreams:
            for attempt, posting in upstream.runs.items():
                ran.setdefault(attempt, []).append(posting)
        promised = [ident for ident, line in answers.items()
                    if line.split(" ")[1] in ("408", "421", "429", "503") and ident in ran]
        postings = {}
        for attempt, of in ran.items():
            for posting in of:
                postings.setdefault(posting, []).append(attempt)
        twice = {posting: of for posting, of in postings.items() if len(of) > 1}
        record("requests %d, runs %d, answered with a promise although run: %d" % (
            len(answers), sum(len(of) for of in ran.values()), len(promised)))
        for ident in promised:
            record("BROKEN: id=%s ran and was answered %s" % (ident, answers[ident]))
        record("postings that ran twice, as the client believed the promise: %d" % len(twice))
        if not answers:
            return 2
        return 1 if promised else 0
    except (OSError, asyncio.TimeoutError) as error:
        record("could not run: %r" % error)
        return 2
    finally:
        for gateway in gateways:
            await gateway.end()
        shutil.rmtree(work)


standin.run(main)
