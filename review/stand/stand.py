"""Stand-ins for the cases of the review: the platform's store, replicas,
consumers, links, and the platform that starts the project's programs.

They speak what the pages say (PROTOCOL.md, DEPLOY.md) and use loopback
addresses and the standard library alone.
"""

import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
import urllib.request

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "shop.example"
KEY = "key-of-the-tenant"
CASE_MAX_S = 110  # a script may run for 120 s


class CannotRun(Exception):
    """The case could not run; its script exits with 2."""


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def add(self, who, what):
        at = time.monotonic() - self.start
        with self.lock:
            self.file.write(f"{at:8.3f} s  {who:<12} {what}\n")
            self.file.flush()


def free_port(addresses):
    """Returns a port that is free on all ADDRESSES."""
    for _ in range(200):
        held = []
        try:
            first = socket.socket()
            first.bind((addresses[0], 0))
            held.append(first)
            port = first.getsockname()[1]
            for a in addresses[1:]:
                s = socket.socket()
                held.append(s)
                s.bind((a, port))
            return port
        except OSError:
            continue
        finally:
            for s in held:
                s.close()
    raise CannotRun("no free port")


def listen(address, backlog=256):
    s = socket.socket()
    s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    s.bind(address)
    s.listen(backlog)
    return s


def serve(listener, handler):
    """Calls HANDLER with each channel that LISTENER accepts, in a thread."""
    def accept():
        while True:
            try:
                c, _ = listener.accept()
            except OSError:
                return
            c.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=guard, args=(handler, c),
                             daemon=True).start()

    def guard(fn, c):
        try:
            fn(c)
        except (OSError, ValueError):
            pass
        finally:
            c.close()

    threading.Thread(target=accept, daemon=True).start()


class Reader:
    """Reads messages of HTTP/1.1 from a channel."""

    def __init__(self, channel):
        self.channel = channel
        self.data = b""

    def fill(self):
        more = self.channel.recv(65536)
        self.data += more
        return len(more) > 0

    def line(self):
        while b"\r\n" not in self.data:
            if not self.fill():
                return None
        text, self.data = self.data.split(b"\r\n", 1)
        return text.decode("latin-1")

    def take(self, n):
        if len(self.data) >= n:
            out, self.data = self.data[:n], self.data[n:]
            return out
        out = bytearray(self.data)
        self.data = b""
        while len(out) < n:
            more = self.channel.recv(min(n - len(out), 1 << 20))
            if not more:
                return None
            out += more
        return bytes(out)

    def head(self):
        """Returns the first line and the headers, by lower-case name."""
        first = self.line()
        if first is None:
            return None, {}
        headers = {}
        while True:
            text = self.line()
            if text is None:
                return None, {}
            if text == "":
                return first, headers
            name, value = text.split(":", 1)
            headers[name.strip().lower()] = value.strip()

    def request(self):
        """Returns the method, target, headers and body of a request."""
        first, headers = self.head()
        if first is None:
            return None
        method, target, _ = first.split(" ", 2)
        body = self.take(int(headers.get("content-length", "0")))
        return method, target, headers, body


class Store:
    """The platform's store: reads alone, as the system makes them."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.revision = 1
        self.items = {}
        self.history = []
        self.address = address
        serve(listen(address), self.channel)

    def put(self, key, value):
        with self.lock:
            self.revision += 1
            item = {"key": key, "revision": self.revision}
            if value is None:
                self.items.pop(key, None)
                item["removed"] = True
            else:
                text = json.dumps(value).encode()
                item["value"] = base64.b64encode(text).decode()
                item["created"] = self.revision
                item["lease"] = 0
                self.items[key] = item
            self.history.append(item)
            self.lock.notify_all()

    def range(self, query):
        prefix = query.get("prefix", "")
        after = query.get("after", "")
        with self.lock:
            found = [self.items[k] for k in sorted(self.items)
                     if k.startswith(prefix) and k > after]
            return {"items": found, "more-pages": False,
                    "current-rev": self.revision}

    def watch(self, query):
        after = int(query.get("after", "0"))
        prefix = query.get("prefix", "")
        end = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        with self.lock:
            while True:
                found = [i for i in self.history if i["revision"] > after
                         and i["key"].startswith(prefix)]
                left = end - time.monotonic()
                if found or left <= 0:
                    return {"events": found, "current-rev": self.revision}
                self.lock.wait(left)

    def channel(self, c):
        reader = Reader(c)
        while True:
            request = reader.request()
            if request is None:
                return
            url = urllib.parse.urlsplit(request[1])
            query = dict(urllib.parse.parse_qsl(url.query))
            if url.path == "/v1/kv-range":
                answer = self.range(query)
            elif url.path == "/v1/kv-watch":
                answer = self.watch(query)
            else:
                c.sendall(b"HTTP/1.1 404 Not Found\r\n"
                          b"Content-Length: 0\r\n\r\n")
                continue
            body = json.dumps(answer).encode()
            c.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                      b"Content-Length: %d\r\n\r\n" % len(body) + body)


class Replica:
    """A sound replica of a service.  RUN is called with the channel, the
    method, target, headers and body of each request that it runs, and
    answers; it returns whether the channel stays open."""

    def __init__(self, record, name, address, run):
        self.record = record
        self.name = name
        self.address = address
        self.run = run
        self.ran = []
        serve(listen(address), self.channel)

    def entry(self, service, zone, slots=12):
        return {"service": service, "address": "%s:%d" % self.address,
                "zone": zone, "version": "v1", "slots": slots,
                "state": "ready", "cold-left-ms": 0, "seq": 1,
                "born": int(time.time() * 1000)}

    def channel(self, c):
        reader = Reader(c)
        while True:
            request = reader.request()
            if request is None:
                return
            method, target, headers, body = request
            attempt = headers.get("x-attempt-id", "")
            if target == "/healthz":
                c.sendall(b"HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\n"
                          b"Content-Length: 0\r\n\r\n" % self.name.encode())
                continue
            if headers.get("x-expect-replica", self.name) != self.name:
                c.sendall(b"HTTP/1.1 421 Misdirected Request\r\n"
                          b"X-Replica-Id: %s\r\nX-Attempt-Id: %s\r\n"
                          b"Content-Length: 0\r\n\r\n"
                          % (self.name.encode(), attempt.encode()))
                continue
            self.ran.append(attempt)
            self.record.add(self.name, f"runs {attempt} ({method} {target}, "
                            f"{len(body)} bytes)")
            if not self.run(c, method, target, headers, body):
                return

    def head(self, headers, *lines):
        """Returns the head of a success."""
        text = ["HTTP/1.1 200 OK",
                "X-Attempt-Id: " + headers.get("x-attempt-id", ""),
                "X-Replica-Signature: 3e1b.07." + self.name, *lines, "", ""]
        return "\r\n".join(text).encode()


def route(name, prefix, kind, service, **more):
    r = {"name": name, "host": HOST, "prefix": prefix, "route-kind": kind,
         "timeout-ms": 8000, "slo-ms": 400, "priority": 1,
         "service": service, "max-attempts": 2, "public": False}
    r.update({k.replace("_", "-"): v for k, v in more.items()})
    return r


def configuration(routes, services):
    """The configuration of a small installation: the limits are those that
    `fleetbench wire` shows for qila-kiosk."""
    return {"version": 7, "routes": routes,
            "services": [{"name": s, "health-path": "/healthz",
                          "max-conns": 278, "protocol": "h1", "tls": False,
                          "cold-start-s": 0.0, "cold-per-s": 0.0}
                         for s in services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "depot", "api-keys": [KEY], "priority": 1}]}


SETTINGS = """node: "{name}"
role: "edge"
machine-class: "edge"
serves:
  - "edge"
  - "control_plane"
ip: "{ip}"
zone: "{zone}"
region: "r"
zones:
  z-a: "r"
  z-b: "r"
  z-c: "r"
listen:
  front: "{ip}:{front}"
  ready: "{ip}:{ready}"
  control: "{ip}:{control}"
internal-ports:
  - {first}
  - {last}
seeds:
{seeds}
bootstrap: {bootstrap}
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
  address: "{store}"
  form: "read"
  writes-per-s: 400
  reads-per-s: 2000
  history-s: 20
  value-bytes: 1048576
  ttl-min-ms: 1000
"""


class Edge:
    """A machine with the role edge of the deploy file."""

    def __init__(self, platform, number):
        self.platform = platform
        self.name = f"edge-{number}"
        self.ip = f"127.0.1.{number}"
        self.zone = "z-" + "abc"[(number - 1) % 3]
        self.process = None

    def start(self, bootstrap=True):
        p = self.platform
        path = os.path.join(p.folder, self.name + ".yaml")
        seeds = "\n".join(f'  - "{e.ip}:{p.control}"' for e in p.edges)
        with open(path, "w") as f:
            f.write(SETTINGS.format(
                name=self.name, ip=self.ip, zone=self.zone, front=p.front,
                ready=p.ready, control=p.control, first=p.internal,
                last=p.internal, seeds=seeds,
                bootstrap="true" if bootstrap else "false",
                store="%s:%d" % p.store.address))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["BILBERRYHOOK_CONFIG"] = path
        self.log = open(os.path.join(p.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            p.command, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        p.record.add("platform", f"starts {self.name}")

    def is_ready(self):
        try:
            url = f"http://{self.ip}:{self.platform.ready}/v1/readyz"
            with urllib.request.urlopen(url, timeout=1) as a:
                return a.status == 200
        except OSError:
            return False

    def send_signal(self, number, why):
        self.platform.record.add("platform", f"{why} {self.name}")
        self.process.send_signal(number)

    def memory_mb(self):
        with open(f"/proc/{self.process.pid}/status") as f:
            for text in f:
                if text.startswith("VmRSS:"):
                    return int(text.split()[1]) / 1024
        return 0.0


class Platform:
    """Starts EDGES machines, the store and nothing else."""

    def __init__(self, record, edges=3):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            role = tomllib.load(f)["roles"]["edge"]
        self.command = role["run"].split()
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun(self.command[0] + " is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.edges = [Edge(self, n + 1) for n in range(edges)]
        ips = [e.ip for e in self.edges]
        self.front, self.ready, self.control, self.internal, metrics = (
            free_port(ips) for _ in range(5))
        # The port of the deploy file may be in use here; any other serves.
        self.command = [str(metrics) if a == "9464" else a
                        for a in self.command]
        self.store = Store(("127.0.0.1", free_port(["127.0.0.1"])))

    def start(self, config, replicas):
        """REPLICAS are pairs of a replica and its service."""
        self.store.put("op/config", config)
        for n, (replica, service) in enumerate(replicas):
            self.store.put("servers/" + replica.name,
                           replica.entry(service, "z-" + "abc"[n % 3]))
        for e in self.edges:
            e.start()
        self.await_ready()

    def await_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while not all(e.is_ready() for e in self.edges):
            if time.monotonic() > end:
                raise CannotRun("the edges are not ready")
            time.sleep(0.1)
        time.sleep(1)

    def close(self):
        for e in self.edges:
            if e.process and e.process.poll() is None:
                e.process.send_signal(signal.SIGCONT)
                e.process.kill()
            if e.process:
                e.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Link:
    """A link between a consumer and an edge that is cut once, for CUT_S
    seconds, after CUT_AFTER bytes of an answer (None: never): nothing passes
    meanwhile, in either direction, and no channel is closed.  What was sent is
    passed on afterwards, and so is the way in which a channel ended."""

    def __init__(self, record, edge, port, cut_after, cut_s, segment=1448,
                 window=65536):
        self.record = record
        self.edge = edge
        self.target = (edge.ip, port)
        self.cut_after = cut_after
        self.cut_s = cut_s
        self.open = threading.Event()
        self.open.set()
        self.segment = segment
        self.window = window
        self.listener = listen(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        serve(self.listener, self.channel)

    def channel(self, c):
        s = socket.socket()
        # Segments and windows as on a real link.
        s.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.segment)
        s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window)
        s.connect(self.target)
        threading.Thread(target=self.pass_on, args=(c, s, False),
                         daemon=True).start()
        self.pass_on(s, c, True)

    def cut(self):
        self.cut_after = None
        self.open.clear()
        self.record.add("link", f"of {self.edge.name} is cut")
        time.sleep(self.cut_s)
        self.record.add("link", f"of {self.edge.name} is back after "
                        f"{self.cut_s} s")
        self.open.set()

    def pass_on(self, source, sink, answers):
        passed = 0
        while True:
            self.open.wait()
            try:
                data = source.recv(16384)
            except ConnectionResetError:
                reset(sink)
                return
            except OSError:
                return
            self.open.wait()
            try:
                if data:
                    sink.sendall(data)
                else:
                    sink.shutdown(socket.SHUT_WR)
                    return
            except OSError:
                return
            passed += len(data)
            if (answers and self.cut_after is not None
                    and passed >= self.cut_after):
                self.cut()


def reset(channel):
    """Ends CHANNEL with a reset."""
    try:
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                           struct.pack("ii", 1, 0))
        channel.close()
    except OSError:
        pass


class Answer:
    """What a consumer got.  END says how it ended: "whole" where HTTP/1.1
    marks the end of the body (length, last chunk, or, where the head names
    neither, an orderly end of the channel), "cut" otherwise."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.framing = "none"
        self.end = "cut"

    def __str__(self):
        return (f"status {self.status}, framed by {self.framing}, "
                f"{len(self.body)} bytes, {self.end}")


def request_text(method, target, attempt, deadline_ms, body=b"", close=True):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}",
             f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}",
             f"Authorization: Bearer {KEY}"]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def read_answer(channel, answer, on_data=None):
    """Reads an answer into ANSWER, piece by piece."""
    reader = Reader(channel)
    try:
        first, answer.headers = reader.head()
        if first is None:
            return
        answer.status = int(first.split(" ", 2)[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            answer.framing = "chunks"
        elif "content-length" in answer.headers:
            answer.framing = "length"
        else:
            answer.framing = "close"
        while True:
            if answer.framing == "chunks":
                size = reader.line()
                if size is None:
                    return
                data = reader.take(int(size, 16))
                if data is None or reader.line() is None:
                    return
                if not data:
                    answer.end = "whole"
                    return
            elif answer.framing == "length":
                left = int(answer.headers["content-length"])
                left -= len(answer.body)
                if left == 0:
                    answer.end = "whole"
                    return
                if not reader.data and not reader.fill():
                    return
                data, reader.data = reader.data[:left], reader.data[left:]
            else:
                if not reader.data and not reader.fill():
                    answer.end = "whole"
                    return
                data, reader.data = reader.data, b""
            answer.body += data
            if on_data:
                on_data(answer)
    except OSError:
        answer.end = "cut"


def run_case(folder, case):
    """Runs CASE (record), which returns a list of what broke the rule, and
    exits as the review's page says.  What goes wrong in the case itself, a
    signal and the end of its time count as a case that could not run; the case
    ends its processes on its way out."""
    record = Record(folder)
    status = 2

    def stop(number, frame):
        for n in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
            signal.signal(n, signal.SIG_IGN)
        raise CannotRun(f"ended by signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(CASE_MAX_S)
    try:
        broken = case(record)
        for text in broken:
            record.add("BROKEN", text)
        status = 1 if broken else 0
    except Exception as e:
        record.add("cannot run", f"{type(e).__name__}: {e}")
    record.add("result", {0: "the rule held", 1: "the rule was broken",
                          2: "the case could not run"}[status])
    with open(record.file.name) as f:
        sys.stdout.write(f.read())
    sys.stdout.flush()
    os._exit(status)
