"""Stand-ins for the scripts of this review: the platform's store, a replica
that answers with streams, the link in front of a replica, consumers, and what
starts the project's own program.  Only the standard library is used, and only
loopback addresses."""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, in seconds from the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = now()

    def add(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))
        self.file.flush()


def loopback_net():
    """Returns the first three bytes of loopback addresses that nobody else is
    likely to use."""
    return "127.%d.%d" % (random.randrange(20, 250), random.randrange(1, 250))


def free_port(ip):
    s = socket.socket()
    s.bind((ip, 0))
    port = s.getsockname()[1]
    s.close()
    return port


async def read_head(reader):
    """Returns the first line and the headers, whose names are in lower case;
    None at the end of the channel."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """kv-range and kv-watch of the platform's store."""

    def __init__(self, ip):
        self.ip = ip
        self.port = free_port(ip)
        self.items = {}
        self.history = []
        self.revision = 100
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        item = {"key": key, "value": text, "revision": self.revision,
                "created": self.revision, "lease": 0}
        self.items[key] = item
        self.history.append(item)
        self.changed.set()
        self.changed = asyncio.Event()

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.history.append({"key": key, "revision": self.revision,
                             "removed": True})
        self.changed.set()
        self.changed = asyncio.Event()

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port)

    async def answer(self, target):
        path, _, query = target.partition("?")
        q = dict(p.partition("=")[::2] for p in query.split("&") if p)
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(q.get("prefix", ""))
                          and k > q.get("after", "").replace("%2F", "/"))
            return {"items": [self.items[k] for k in keys],
                    "more-pages": False, "current-rev": self.revision}
        after = int(q.get("after", "0"))
        end = now() + int(q.get("wait-ms", "0")) / 1000
        while True:
            events = [i for i in self.history if i["revision"] > after]
            left = end - now()
            if events or left <= 0:
                return {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    break
                body = json.dumps(
                    await self.answer(head[0].split(" ")[1])).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/"
                             b"json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()


class Replica:
    """Answers each request with a stream of events.  It takes a request when
    it has read it, and drops it when its channel closes."""

    def __init__(self, ip, name, record, events=6, gap_s=0.04):
        self.ip = ip
        self.name = name
        self.port = free_port(ip)
        self.record = record
        self.events = events
        self.gap_s = gap_s
        self.reached = {}  # by attempt id: when it was read
        self.ended = {}

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port)

    async def stream(self, headers, writer):
        attempt = headers.get("x-attempt-id", "")
        first = int(headers.get("last-event-id", "0") or "0") + 1
        writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                      "X-Replica-Signature: sig-%s\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n"
                      % (attempt, self.name)).encode())
        for i in range(first, self.events + 1):
            await asyncio.sleep(self.gap_s)
            text = ("id: %d\ndata: part %d\n\n" % (i, i)).encode()
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if not head:
                    break
                line, headers = head
                size = int(headers.get("content-length", "0"))
                if size:
                    await reader.readexactly(size)
                attempt = headers.get("x-attempt-id", "")
                if line.split(" ")[1].startswith("/v1/"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\n"
                                 b"Content-Length: 0\r\n\r\n")
                    continue
                if headers.get("x-expect-replica", self.name) != self.name:
                    writer.write(("HTTP/1.1 421 Misdirected Request\r\n"
                                  "X-Attempt-Id: %s\r\nX-Replica-Id: %s\r\n"
                                  "Content-Length: 0\r\n\r\n"
                                  % (attempt, self.name)).encode())
                    continue
                self.reached.setdefault(attempt, []).append(now())
                self.record.add("%s reaches %s, deadline %s ms" % (
                    attempt, self.name, headers.get("x-deadline-ms")))
                work = asyncio.ensure_future(self.stream(headers, writer))
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({work, gone},
                                   return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.record.add("%s: its channel to %s has closed"
                                    % (attempt, self.name))
                    break
                gone.cancel()
                try:
                    await gone
                except asyncio.CancelledError:
                    pass
                work.result()
                self.ended[attempt] = now()
                self.record.add("%s ends at %s" % (attempt, self.name))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


class Link:
    """The link in front of a replica.  While it is cut it holds what is sent,
    and the ends of channels in their place; a new channel is not accepted by
    the replica meanwhile.  What it holds is lost if its sender resets the
    channel."""

    def __init__(self, ip, target, record):
        self.ip = ip
        self.port = free_port(ip)
        self.target = target
        self.record = record
        self.whole = asyncio.Event()
        self.whole.set()

    async def start(self):
        await asyncio.start_server(self.serve, self.ip, self.port)

    def cut(self):
        self.whole.clear()
        self.record.add("the link is cut")

    def heal(self):
        self.whole.set()
        self.record.add("the link is whole again")

    async def carry(self, reader, writer):
        """Carries bytes and the end of the channel.  Returns whether the
        sender has reset it."""
        held = b""
        ended = False
        while not ended or held:
            if held and self.whole.is_set():
                writer.write(held)
                held = b""
                await writer.drain()
                continue
            waits = [asyncio.ensure_future(self.whole.wait())] if held else []
            read = (None if ended
                    else asyncio.ensure_future(reader.read(65536)))
            await asyncio.wait(waits + ([read] if read else []),
                               return_when=asyncio.FIRST_COMPLETED)
            for w in waits:
                w.cancel()
            if read and read.done():
                try:
                    data = read.result()
                except ConnectionError:
                    return True
                ended = not data
                held += data
            elif read:
                # The wait has ended; the read goes on.
                while not read.done():
                    writer.write(held)
                    held = b""
                    await writer.drain()
                    try:
                        data = await read
                    except ConnectionError:
                        return True
                    ended = not data
                    held += data
        await self.whole.wait()
        if writer.can_write_eof():
            writer.write_eof()
        return False

    async def serve(self, reader, writer):
        await self.whole.wait()
        try:
            r, w = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        there = asyncio.ensure_future(self.carry(reader, w))
        back = asyncio.ensure_future(self.carry(r, writer))
        try:
            await there
            if there.result():
                back.cancel()
                w.transport.abort()
                writer.transport.abort()
                return
            await asyncio.wait({back}, timeout=5)
        except (ConnectionError, RuntimeError):
            pass
        back.cancel()
        writer.close()
        w.close()


SETTINGS = """node: "%(name)s"
role: "edge"
machine-class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: "%(ip)s"
zone: "%(zone)s"
region: "r"
zones:
  z-a: "r"
  z-b: "r"
  z-c: "r"
listen:
  front: "%(ip)s:%(front)d"
  ready: "%(ip)s:%(ready)d"
  control: "%(ip)s:%(control)d"
internal-ports:
  - 7340
  - 7355
seeds:
%(seeds)s
bootstrap: true
counts-as-loss: false
limits:
  cpu-share: 0.19
  cores: 1
  memory-mb: 260
  max-fds: 4200
  link-mbps: 1000.0
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
contracts:
  - "base"
  - "drain"
  - "config"
  - "cost"
  - "retry"
  - "recover"
  - "stream"
  - "tenants"
  - "places"
  - "platform"
fault-tolerance:
  machines: 2
  zones: 1
  regions: 0
bounds:
  seed-lag-s: 3
  reuse-after-s: 2
  stability-window-ms: 3000
  ack-ms: 4000
  catch-up-s: 4
  drain-ms: 2000
  grace-s: 8
  loss-slack-ms: 200
  config-deadline-ms: 2000
  rollback-slack-ms: 250
  partition-max-ms: 5000
  strict-revoke: false
  revoke-ms: 5000
  retry-budget-ratio: 0.2
  budget-window-s: 10
  budget-extra: 88
  cold-overage: 1.5
  cold-slack: 5
  evacuate-ms: 5000
  recover-s: 12
  forward-ms: 120
  retry-after-s: 0
  stall_ms: 1500
  fencing: true
platform:
  address: "%(store)s"
  form: "read"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  ttl-min-ms: 1000
"""


class Edges:
    """The project's edges, started by the command of the deploy file."""

    def __init__(self, net, store, count, folder):
        self.net = net
        self.store = store
        self.folder = folder
        self.processes = []
        first = net + ".1"
        self.ready, self.front, self.control = (free_port(first)
                                                for _ in range(3))
        self.addresses = ["%s.%d" % (net, i + 1) for i in range(count)]

    def start(self, first=True):
        """Starts the edges; after a kill of all it is not the FIRST time."""
        self.processes = []
        seeds = "\n".join('  - "%s:%d"' % (a, self.control)
                          for a in self.addresses[:3])
        for i, ip in enumerate(self.addresses):
            path = os.path.join(self.folder, "edge-%d.yaml" % i)
            text = SETTINGS if first else SETTINGS.replace(
                "bootstrap: true", "bootstrap: false")
            with open(path, "w") as f:
                f.write(text % {
                    "name": "edge-%d" % i, "ip": ip,
                    "zone": "z-" + "abc"[i % 3], "front": self.front,
                    "ready": self.ready, "control": self.control,
                    "seeds": seeds, "store": "%s:%d" % (self.store.ip,
                                                        self.store.port)})
            log = open(os.path.join(self.folder, "edge-%d.log" % i), "w")
            env = {"PATH": os.environ.get("PATH", ""), "LANG": "C",
                   "BILBERRYHOOK_CONFIG": path}
            self.processes.append(subprocess.Popen(
                ["target/bilberry-edge", "--metrics", "9464"], cwd=ROOT,
                env=env, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL))

    def stop(self):
        for p in self.processes:
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
        for p in self.processes:
            p.wait()

    async def wait_ready(self, seconds=15):
        end = now() + seconds
        for ip in self.addresses:
            while True:
                try:
                    r, w = await asyncio.open_connection(ip, self.ready)
                    w.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                    head = await read_head(r)
                    w.close()
                    if head and " 200 " in head[0] + " ":
                        break
                except OSError:
                    pass
                if now() > end:
                    return False
                await asyncio.sleep(0.1)
        return True


def route(name, prefix, kind, service, **more):
    r = {"name": name, "host": "ficu95.example", "prefix": prefix,
         "route-kind": kind, "timeout-ms": 8000, "slo-ms": 400, "priority": 1,
         "service": service, "max-attempts": 2, "public": False,
         "sticky": False}
    r.update(more)
    return r


def config(routes, services, version=7):
    return {"version": version, "routes": routes,
            "services": [{"name": s, "health-path": "/healthz",
                          "max-conns": 96, "protocol": "h1", "tls": False,
                          "cold-start-s": 0.0, "cold-per-s": 0.0}
                         for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "hule930", "api-keys": ["key-1"],
                         "priority": 1}]}


def beat(service, address, zone, born, slots=12, seq=1):
    return {"service": service, "address": address, "zone": zone,
            "version": "v1", "slots": slots, "state": "ready",
            "cold-left-ms": 0, "seq": seq, "born": born}


class Consumer:
    """One request on a channel of its own."""

    def __init__(self, address, path, attempt, record, deadline_ms=8000,
                 method="POST", body=b"x" * 600):
        self.address = address
        self.record = record
        self.attempt = attempt
        self.closed_at = None
        self.status = None
        self.complete = False
        self.text = (("%s %s HTTP/1.1\r\nHost: ficu95.example\r\n"
                      "X-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"
                      "Authorization: Bearer key-1\r\n"
                      "Content-Length: %d\r\n\r\n"
                      % (method, path, attempt, deadline_ms,
                         len(body))).encode() + body)

    async def run(self, patience_s):
        """Leaves after PATIENCE_S without the end of the answer."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.record.add("%s is sent to %s" % (self.attempt, self.address[0]))
        writer.write(self.text)
        try:
            await asyncio.wait_for(self.read(reader), patience_s)
        except (asyncio.TimeoutError, ConnectionError,
                asyncio.IncompleteReadError):
            pass
        writer.close()
        self.closed_at = now()
        self.record.add("%s: its consumer closes the channel, status %s, %s"
                        % (self.attempt, self.status,
                           "complete" if self.complete else "not complete"))

    async def read(self, reader):
        head = await read_head(reader)
        if not head:
            return
        self.status = int(head[0].split(" ")[1])
        if head[1].get("transfer-encoding") == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                await reader.readexactly(size + 2)
                if size == 0:
                    break
        else:
            await reader.readexactly(int(head[1].get("content-length", "0")))
        self.complete = True


def main(case, folder):
    """Runs CASE (record, temporary folder), a coroutine that returns the exit
    status."""
    record = Record(os.path.join(folder, "record.txt"))
    if not os.access(os.path.join(ROOT, "target/bilberry-edge"), os.X_OK):
        record.add("target/bilberry-edge is not built")
        sys.exit(2)
    with tempfile.TemporaryDirectory(prefix="review-3-") as temporary:
        loop = asyncio.new_event_loop()
        task = loop.create_task(asyncio.wait_for(case(record, temporary),
                                                 112))
        # A script that is ended ends its own processes first, by their ids.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            status = loop.run_until_complete(task)
        except (Exception, asyncio.CancelledError) as e:
            record.add("could not run: %r" % e)
            status = 2
    record.add("exit %d" % status)
    sys.stdout.flush()
    os._exit(status)  # what still waits on channels is not of interest
