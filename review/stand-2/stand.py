"""Stand-ins for the scripts of review/6 to review/10.

The platform's store, its operator, replicas, engines of a group and callers,
after PROTOCOL.md and DEPLOY.md, as tasks of one asyncio loop; and the start of
the project's own programs with the commands of deploy/system.toml.  Only the
standard library of Python is used.  All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case could not run; the script exits with 2."""


class Record:
    """What was sent, answered and run, in order, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write("%9.3f  %s\n" % (self.now(), text))

    def say(self, text):
        self.write(text)
        print("%9.3f  %s" % (self.now(), text), flush=True)


async def read_message(reader):
    """Returns the first line, the headers by lower-case name and the body of a
    message whose body has a length or comes in chunks."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif int(headers.get("content-length", "0")) > 0:
        body = await reader.readexactly(int(headers["content-length"]))
    return head[0], headers, body


def response(status, body=b"", headers=()):
    head = ["HTTP/1.1 %d %s" % (status, "OK" if status == 200 else "Status")]
    head += ["%s: %s" % h for h in headers]
    head += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(head).encode("latin1") + body


class Server:
    """An HTTP server on one address that can be stopped and started."""

    def __init__(self, ip, port):
        self.ip = ip
        self.port = port
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, backlog=512)

    def stop(self):
        """Ends as a process does that exits: nothing listens any more, and
        each open channel is reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target = line.split(" ")[:2]
                if not await self.handle(method, target, headers, body, writer):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's metadata store."""

    PAGE_ITEMS = 50

    def __init__(self, ip, port, record):
        super().__init__(ip, port)
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 10
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Sets KEY to VALUE, which is encoded as JSON; None removes it."""
        self.revision += 1
        if value is None:
            self.items.pop(key)
            self.history.append({"key": key, "revision": self.revision,
                                 "removed": True})
        else:
            before = self.items.get(key)
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = {
                "key": key, "value": text, "revision": self.revision,
                "created": before["created"] if before else self.revision,
                "lease": 0}
            self.history.append(self.items[key])
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, target, headers, body, writer):
        url = urllib.parse.urlparse(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if method == "GET" and url.path == "/v1/kv-range":
            answer = self.list(query)
        elif method == "GET" and url.path == "/v1/kv-watch":
            answer = await self.watch(query)
        else:
            writer.write(response(404))
            return True
        writer.write(response(200, json.dumps(answer).encode(),
                              [("Content-Type", "application/json")]))
        return True

    def list(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("prefix", ""))
                      and k > query.get("after", ""))
        return {"items": [self.items[k] for k in keys[:self.PAGE_ITEMS]],
                "current-rev": self.revision,
                "more-pages": len(keys) > self.PAGE_ITEMS}

    async def watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            changed = self.changed
            events = [e for e in self.history if e["revision"] > after]
            left = end - time.monotonic()
            if events or left <= 0:
                return {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Replica(Server):
    """A replica of a plain service.  It runs a request for WORK_S seconds, and
    stops when its channel closes only after that."""

    def __init__(self, ip, port, service, zone, store, record, work_s=0.03):
        super().__init__(ip, port)
        self.id = "i-%010x" % random.getrandbits(40)
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.ran = []  # (seconds, attempt id)
        self.beating = None

    def entry(self, state="ready"):
        self.seq += 1
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": 6, "state": state,
                "cold-left-ms": 0, "seq": self.seq, "born": self.born}

    def register(self):
        self.store.put("servers/" + self.id, self.entry())

    def unregister(self):
        self.store.put("servers/" + self.id, None)

    async def handle(self, method, target, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        if target == "/healthz":
            writer.write(response(200, b"", [("X-Replica-Id", self.id)]))
            return True
        echo = [("X-Attempt-Id", attempt)]
        if headers.get("x-expect-replica", self.id) != self.id:
            writer.write(response(421, b"", echo + [("X-Not-Executed", "1")]))
            return True
        if not attempt:
            writer.write(response(400, b"", [("X-Not-Executed", "1")]))
            return True
        self.ran.append((self.record.now(), attempt))
        self.record.write("%s runs %s for %s" % (
            self.id, attempt, headers.get("x-tenant", "nobody")))
        await self.run(attempt, headers, writer)
        return not writer.is_closing()

    async def run(self, attempt, headers, writer):
        await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
        writer.write(response(200, self.body_of(attempt), self.echo(attempt)))

    def echo(self, attempt):
        return [("X-Attempt-Id", attempt),
                ("X-Replica-Signature", "3e1b.%s" % attempt),
                ("Keep-Alive", "timeout=15")]

    @staticmethod
    def body_of(attempt):
        return (attempt * 50).encode()[:800]


class Engine(Server):
    """The engine of one rank of an idle group, which makes no passes."""

    def __init__(self, ip, port, rank, size, service, zone, store, record):
        super().__init__(ip, port)
        self.rank = rank
        self.size = size
        self.id = "i-%010x" % random.getrandbits(40)
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.born = int(time.time() * 1000)

    def register(self):
        self.store.put("servers/" + self.id, {
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "v1", "slots": 12, "state": "ready",
            "cold-left-ms": 0, "seq": 1, "born": self.born, "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}]})

    async def handle(self, method, target, headers, body, writer):
        sets, experts, places = 3, 96, 11
        if target.startswith("/v1/report"):
            answer = {
                "stage": "unified", "busy": False, "seq": 0, "queued": 0,
                "running": 0, "kv-used": 0, "kv-total": 372000, "handles": 0,
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "group": {"name": "g0", "epoch": 1, "rank": self.rank,
                          "state": "open", "size": self.size},
                "size": self.size, "step": 1, "map": 0, "born": self.born,
                "pace": 1.0}
        elif target.startswith("/v1/picked?lists"):
            rows = [[e for e in range(experts) if e % self.size == self.rank]
                    for _ in range(sets)]
            answer = {"step": 1, "epoch": 1,
                      "map": {"version": 0, "experts": rows}}
        elif target.startswith("/v1/picked"):
            answer = {"step": 1, "epoch": 1, "counts": [0] * (sets * experts)}
        else:
            writer.write(response(400))
            return True
        writer.write(response(200, json.dumps(answer).encode(),
                              [("Content-Type", "application/json")]))
        return True


class Answer:
    """How an attempt ended: STATUS is 0 where no whole response came."""

    def __init__(self, status, headers=None, body=b"", how=""):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.how = how


def deploy_command(role):
    """Returns the words of `run` of ROLE in deploy/system.toml."""
    path = os.path.join(ROOT, "deploy", "system.toml")
    with open(path, encoding="utf-8") as f:
        text = f.read()
    match = re.search(r'\[roles\.%s\]\s*\nrun = "([^"]*)"' % role, text)
    if not match:
        raise CannotRun("no command of role %s" % role)
    return match.group(1).split()


class Process:
    """One of the project's programs on a machine of its own."""

    def __init__(self, fleet, role, name, settings):
        self.fleet = fleet
        self.role = role
        self.name = name
        self.settings = settings
        self.path = os.path.join(fleet.folder, name + ".yaml")
        self.child = None
        self.starts = 0

    def start(self):
        bootstrap = "true" if self.starts == 0 else "false"
        self.starts += 1
        with open(self.path, "w", encoding="utf-8") as f:
            f.write(self.settings.replace("@bootstrap@", bootstrap))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["BILBERRYHOOK_CONFIG"] = self.path
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.child = subprocess.Popen(
            deploy_command(self.role), cwd=ROOT, env=env, stdout=log,
            stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def kill(self):
        self.child.kill()
        self.child.wait()

    def end(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


SETTINGS = """node: "{name}"
role: "{role}"
machine-class: "{kind}"
serves:
{serves}ip: "{ip}"
zone: "{zone}"
region: "region"
zones:
  zone-a: "region"
  zone-b: "region"
  zone-c: "region"
{listen}internal-ports:
  - {port_first}
  - {port_last}
seeds:
{seeds}bootstrap: @bootstrap@
counts-as-loss: false
limits:
  cpu-share: {cpu}
  cores: 1
  memory-mb: {memory}
  max-fds: {fds}
  link-mbps: {link}
  disk-mb: 0
data-dir: null
discovery: "platform"
entry: "vip"
heartbeat-ms: 1200
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
{app}platform:
  address: "{store}"
  form: "read"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  ttl-min-ms: 1000
"""


class Fleet:
    """Three edges in three zones, twelve agents beside the engines of a group,
    and three replicas of a plain service, as on the small installations."""

    KEY = "key-of-the-first-tenant"
    TENANT = "tenant-1"
    HOST = "service.example"

    def __init__(self, record, edges=3, sides=12, replicas=3, work_s=0.03,
                 replica_class=Replica):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        CLEANUPS.append(self.end)
        net = self.pick_net()
        self.net = net
        ports = self.pick_ports(net, 6)
        self.front, self.ready, self.control = ports[:3]
        self.app_port, self.engine_port, store_port = ports[3:]
        self.port_first = self.pick_block(net)
        self.store = Store(net + ".9.1", store_port, record)
        self.seeds = "".join('  - "%s.1.%d:%d"\n' % (net, n + 1, self.control)
                             for n in range(edges))
        self.replicas = [
            replica_class("%s.3.%d" % (net, n + 1), self.app_port, "app",
                          ZONES[n % 3], self.store, record, work_s)
            for n in range(replicas)]
        self.engines = [
            Engine("%s.2.%d" % (net, n + 1), self.engine_port, n, sides, "llm",
                   ZONES[n % 3], self.store, record) for n in range(sides)]
        self.edges = [self.new_edge(n) for n in range(edges)]
        self.sides = [self.new_side(n) for n in range(sides)]

    @staticmethod
    def pick_net():
        """Returns the first half of addresses on which no edge serves its
        metrics, as that of another run would."""
        while True:
            net = "127.%d" % random.randint(20, 250)
            try:
                with socket.socket() as s:
                    s.bind((net + ".1.1", 9464))
                return net
            except OSError:
                pass

    @staticmethod
    def pick_ports(net, count):
        ports = []
        while len(ports) < count:
            port = random.randint(20000, 29000)
            with socket.socket() as s:
                s.bind((net + ".9.1", port))
            if port not in ports:
                ports.append(port)
        return ports

    @staticmethod
    def pick_block(net):
        return random.randint(1850, 1950) * 16

    def common(self, kind, name, ip, zone):
        return {"kind": kind, "name": name, "ip": ip, "zone": zone,
                "port_first": self.port_first,
                "port_last": self.port_first + 15, "seeds": self.seeds,
                "store": self.store.address}

    def new_edge(self, n):
        ip = "%s.1.%d" % (self.net, n + 1)
        listen = ('listen:\n  front: "%s:%d"\n  ready: "%s:%d"\n'
                  '  control: "%s:%d"\n'
                  % (ip, self.front, ip, self.ready, ip, self.control))
        text = SETTINGS.format(
            role="edge", serves='  - "edge"\n  - "control_plane"\n',
            listen=listen, cpu=0.19, memory=260, fds=4200, link="1000.0",
            app="", **self.common("edge", "edge-%d" % (n + 1), ip,
                                  ZONES[n % 3]))
        return Process(self, "edge", "edge-%d" % (n + 1), text)

    def new_side(self, n):
        engine = self.engines[n]
        text = SETTINGS.format(
            role="rank", serves='  - "side"\n', listen="listen: {}\n",
            cpu=0.15, memory=128, fds=2048, link="20.0",
            app='app: "%s"\nservice: "llm"\n' % engine.address,
            **self.common("side", "side-%d" % (n + 1), engine.ip,
                          ZONES[n % 3]))
        return Process(self, "rank", "side-%d" % (n + 1), text)

    def front_of(self, n):
        return "%s.1.%d" % (self.net, n + 1), self.front

    def config(self, version):
        base = {"host": self.HOST, "service": "app", "slo-ms": 150,
                "timeout-ms": 800, "priority": 2}
        return {
            "version": version,
            "routes": [
                dict(base, name="order", prefix="/order/",
                     **{"route-kind": "non_idempotent", "max-attempts": 1}),
                dict(base, name="check", prefix="/check/",
                     **{"route-kind": "idempotent", "max-attempts": 2}),
                dict(base, name="draft", prefix="/draft/", service="llm",
                     **{"route-kind": "streaming", "max-attempts": 2,
                        "resumable": True, "sticky": True,
                        "timeout-ms": 8000, "slo-ms": 400, "priority": 1,
                        "itl-target-ms": 120})],
            "services": [
                {"name": "app", "health-path": "/healthz", "max-conns": 96,
                 "cold-start-s": 0, "cold-per-s": 0},
                {"name": "llm", "health-path": "/healthz", "max-conns": 278,
                 "cold-start-s": 3, "cold-per-s": 28,
                 "engine": {
                     "slots": 12, "stride": 5, "step_ms": 5.85,
                     "per_seq_ms": 0.355, "context_per_k": 0.036,
                     "read_per_s": 61200, "pairs_per_m": 0.325, "chunk": 512,
                     "usual": {"prompt": 815, "answer": 139},
                     "report_lag_ms": 200, "sets": 3, "experts": 96,
                     "placements": 11, "spare": 4, "expert-mb": 780,
                     "link-mbps": 44000, "expert-share": 0.85,
                     "form_ms": 600}}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": self.TENANT, "api-keys": [self.KEY]}]}

    async def start(self):
        for program in ("bilberry-edge", "bilberry-rank"):
            if not os.path.exists(os.path.join(ROOT, "target", program)):
                raise CannotRun("target/%s is not built" % program)
        await self.store.start()
        for server in self.replicas + self.engines:
            await server.start()
            server.register()
        self.store.put("op/config", self.config(3))
        for process in self.edges + self.sides:
            process.start()
        await self.await_ready(20)

    async def is_ready(self, n):
        try:
            reader, writer = await asyncio.open_connection(
                "%s.1.%d" % (self.net, n + 1), self.ready)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
            line = (await asyncio.wait_for(read_message(reader), 1))[0]
            writer.close()
            return " 200 " in line
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def await_ready(self, seconds):
        end = time.monotonic() + seconds
        left = list(range(len(self.edges)))
        while left:
            if time.monotonic() > end:
                raise CannotRun("an edge did not become ready")
            left = [n for n in left if not await self.is_ready(n)]
            await asyncio.sleep(0.05)

    def died(self):
        """Returns the names of the processes that have ended by themselves."""
        return [p.name for p in self.edges + self.sides
                if p.child and p.child.poll() is not None]

    def end(self):
        for process in self.edges + self.sides:
            process.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, edge, path, method="POST", body=b"{}", limit_ms=1500,
                   extra=()):
        """One attempt of a caller on a new channel to EDGE."""
        attempt = "%016x" % random.getrandbits(64)
        head = ["%s %s HTTP/1.1" % (method, path), "Host: " + self.HOST,
                "X-Attempt-Id: " + attempt, "X-Deadline-Ms: %d" % limit_ms,
                "Authorization: Bearer " + self.KEY]
        head += ["%s: %s" % h for h in extra]
        head += ["Content-Length: %d" % len(body), "", ""]
        self.record.write("%s %s %s to %s" % (
            method, path, attempt, self.edges[edge].name))
        answer = Answer(0, how="no answer")
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.front_of(edge)), 1)
            writer.write("\r\n".join(head).encode() + body)
            line, headers, got = await asyncio.wait_for(
                read_message(reader), limit_ms / 1000)
            answer = Answer(int(line.split(" ")[1]), headers, got)
        except asyncio.TimeoutError:
            answer.how = "time limit"
        except (ConnectionError, OSError) as e:
            answer.how = "channel: " + type(e).__name__
        except asyncio.IncompleteReadError:
            answer.how = "channel closed"
        finally:
            if writer:
                writer.close()
        self.record.write("%s got %s" % (
            attempt, answer.status if answer.status else answer.how))
        return attempt, answer


# Called with nothing, in turn, before the script exits.
CLEANUPS = []


def main(play):
    """Runs PLAY (record, trouble), which returns whether the rule held, and
    ends with the exit status of a case.  What was started is ended first, also
    where the script is ended by SIGTERM or takes too long."""
    path = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])),
                        "record.txt")
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("starts, %s the disruption" % ("with" if trouble else "without"))

    def finish(status, text):
        for cleanup in CLEANUPS:
            cleanup()
        record.say(text)
        record.file.close()
        sys.stdout.flush()
        os._exit(status)

    async def run():
        loop = asyncio.get_running_loop()
        # Channels that are open at the end are cut without a word.
        loop.set_exception_handler(lambda loop, c: None)
        loop.add_signal_handler(
            signal.SIGTERM, lambda: finish(2, "cannot run: it was ended"))
        loop.call_later(
            112, lambda: finish(2, "cannot run: it took too long"))
        try:
            held = await play(record, trouble)
        except CannotRun as e:
            finish(2, "cannot run: %s" % e)
        except Exception as e:
            finish(2, "cannot run: %r" % e)
        finish(0 if held else 1,
               "the rule %s" % ("held" if held else "was broken"))

    asyncio.run(run())
