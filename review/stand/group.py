"""A stand-in for the engines of one group of ranks, as PROTOCOL.md tells them:
all ranks execute each pass together, an idle group makes no passes, and each
rank takes orders.  And for the side machines on which bilberry-rank runs beside
each of them."""

import asyncio
import json
import os
import random
import subprocess
import time
import tomllib

import stand

SETS = 2
EXPERTS = 16
PLACEMENTS = 6
SPARE = 4
PASS_S = 0.03
COPY_S = 0.013  # expert-mb over link-mbps
EPOCH = 1


class Rank:
    def __init__(self, number, ranks):
        self.number = number
        self.version = 0
        # Map 0 assigns experts in turn.
        self.map = [[[e for e in range(EXPERTS) if e % ranks == r]
                     for r in range(ranks)] for _ in range(SETS)]
        self.prepared = 0
        self.prepared_map = None
        self.copying = 0
        self.copied_at = 0.0
        self.highest = 0
        self.armed = 0
        self.armed_step = 0
        self.held = 0
        self.counts = [0.0] * (SETS * EXPERTS)

    def finish_copy(self):
        if self.copying and time.monotonic() >= self.copied_at:
            self.prepared = self.copying
            self.copying = 0


class Group:
    """RANKS engines on 127.1.0.1 and on.  IS_LATE (rank, order) returns in how
    many seconds an order is carried out that gets no answer, or None."""

    def __init__(self, record, ranks, is_late, on_order):
        self.record = record
        self.ranks = [Rank(r, ranks) for r in range(ranks)]
        self.is_late = is_late
        self.on_order = on_order
        self.step = 0
        self.busy = False  # requests are running
        self.passes_left = None  # until the running requests are done
        self.maps = 0
        self.mixed = 0  # passes that ranks began with different maps
        self.broken = []
        self.orders = 0
        self.late = 0
        self.draws = random.Random(39)
        self.shift()

    def shift(self):
        """Other experts are in demand."""
        self.loads = [[1 / (0.15 + self.draws.random() * 2)
                       for _ in range(EXPERTS)] for _ in range(SETS)]

    def begin_pass(self):
        self.step += 1
        changed = False
        for k in self.ranks:
            if k.armed and k.armed_step == self.step:
                k.version, k.map = k.armed, k.prepared_map
                k.armed = k.armed_step = 0
                changed = True
        if changed:
            self.maps += 1
            self.record.add("group", f"pass {self.step} begins with maps "
                            f"{[k.version for k in self.ranks]}")
        first = self.ranks[0]
        if any(k.version != first.version or k.map != first.map
               for k in self.ranks):
            self.mixed += 1
            if self.mixed == 1:
                self.broken.append(
                    f"MAP: pass {self.step} begins while the ranks have maps "
                    f"{[k.version for k in self.ranks]}")
        for k in self.ranks:
            for s in range(SETS):
                total = sum(self.loads[s])
                for e in range(EXPERTS):
                    k.counts[s * EXPERTS + e] += (
                        400 * self.loads[s][e] / total)

    async def run_passes(self):
        while True:
            await asyncio.sleep(PASS_S)
            if not self.busy:
                continue
            if any(k.held and self.step + 1 >= k.held for k in self.ranks):
                continue
            self.begin_pass()
            if self.passes_left is not None:
                self.passes_left -= 1
                if self.passes_left <= 0:
                    self.busy = False
                    self.passes_left = None
                    self.record.add("group", "is idle: its requests are done")

    def carry_out(self, k, o):
        op = o["op"]
        version = o.get("version", 0)
        step = o.get("step", 0)
        k.finish_copy()
        if o.get("epoch", EPOCH) != EPOCH:
            return 409
        if op == "prepare":
            if version in (k.prepared, k.copying):
                return 200
            added = 0
            for s in range(SETS):
                new = set(o["map"][s][k.number]) - set(k.map[s][k.number])
                if len(new) > SPARE:
                    return 409
                added += len(new)
            if version <= k.highest or k.armed:
                return 409
            k.highest = k.copying = version
            k.prepared = 0
            k.prepared_map = o["map"]
            k.copied_at = time.monotonic() + added * COPY_S
            return 202
        if op == "arm":
            if k.armed == version and k.armed_step == step:
                return 200
            if k.prepared != version or step <= self.step:
                return 409
            k.armed, k.armed_step = version, step
            return 202
        if op == "disarm":
            if k.version == version:
                return 409
            if k.armed == version:
                k.armed = k.armed_step = 0
            return 200
        if op == "hold":
            if k.held == step:
                return 200
            if k.held or step <= self.step:
                return 409
            k.held = step
            return 202
        if op == "go":
            if k.held != step:
                return 409
            k.held = 0
            return 200
        return 400

    def describe(self, k, o):
        text = f"rank {k.number}: {o['op']}"
        if "version" in o:
            text += f" version {o['version']}"
        if "step" in o:
            text += f" step {o['step']}"
        return text

    def take_order(self, k, o):
        """Returns the status, or None where the order gets no answer."""
        self.orders += 1
        delay = self.is_late(k, o)
        if delay is None:
            status = self.carry_out(k, o)
            self.record.add("engine", f"{self.describe(k, o)}: {status}")
        else:
            status = None
            self.late += 1
            self.record.add("engine", f"{self.describe(k, o)}: no answer, "
                            f"is carried out {delay} s later")

            def carry_out_late():
                late = self.carry_out(k, o)
                self.record.add("engine", f"{self.describe(k, o)}: carried "
                                f"out late: {late}")

            asyncio.get_running_loop().call_later(delay, carry_out_late)
        self.on_order(k, o)
        return status

    def report(self, k):
        k.finish_copy()
        return {"stage": "unified", "models": [], "busy": k.copying != 0,
                "seq": self.orders, "queued": 0,
                "running": 6 if self.busy else 0, "kv-used": 0,
                "kv-total": 372000, "handles": 0,
                "group": {"name": "g0", "epoch": EPOCH, "rank": k.number,
                          "state": "open", "size": len(self.ranks)},
                "size": len(self.ranks), "step": self.step,
                "map": k.version, "prepared": k.prepared,
                "armed": {"version": k.armed, "step": k.armed_step},
                "held": k.held}

    def answer(self, k, method, target, body):
        if target == "/v1/report":
            return 200, self.report(k)
        if target == "/v1/picked":
            return 200, {"step": self.step, "epoch": EPOCH,
                         "counts": [int(c) for c in k.counts]}
        if target.startswith("/v1/picked"):
            rows = [k.map[s][k.number] for s in range(SETS)]
            return 200, {"map": {"version": k.version, "experts": rows}}
        if target == "/v1/order" and method == "POST":
            return self.take_order(k, json.loads(body)), None
        return 404, None

    async def channel(self, reader, writer, k):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split(" ", 2)
                size = 0
                for line in head.split("\r\n")[1:]:
                    if line.lower().startswith("content-length:"):
                        size = int(line.split(":")[1])
                body = await reader.readexactly(size)
                status, value = self.answer(k, method, target, body)
                if status is None:
                    continue
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d Status\r\nContent-Type: "
                             b"application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Side:
    """A side machine: the agent of one rank."""

    def __init__(self, sides, number):
        self.sides = sides
        self.number = number
        self.name = f"side-{number}"
        self.ip = f"127.1.0.{number + 1}"
        self.process = None

    def start(self, bootstrap):
        s = self.sides
        p = s.platform
        text = stand.SETTINGS.format(
            name=self.name, ip=self.ip, zone="z-a", front=0, ready=0,
            control=0, first=s.internal, last=s.internal,
            seeds="\n".join(f'  - "{e.ip}:{p.control}"' for e in p.edges),
            bootstrap="true" if bootstrap else "false",
            store="%s:%d" % p.store.address)
        at, end = text.index("listen:"), text.index("internal-ports")
        text = (text[:at] + "listen: {}\n" + text[end:]).replace(
            "link-mbps: 1000.0", "link-mbps: 20.0")
        text = text.replace('role: "edge"', 'role: "rank"').replace(
            'machine-class: "edge"', 'machine-class: "side"')
        text += f'app: "{self.ip}:{s.port}"\nservice: "draft"\n'
        path = os.path.join(p.folder, self.name + ".yaml")
        with open(path, "w") as f:
            f.write(text)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
               if k in os.environ}
        env["BILBERRYHOOK_CONFIG"] = path
        log = open(os.path.join(p.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            s.command, cwd=stand.ROOT, env=env, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        p.record.add("platform", f"starts {self.name}")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.sides.platform.record.add("platform", f"kills {self.name}")


class Sides:
    def __init__(self, platform, ranks):
        with open(os.path.join(stand.ROOT, "deploy", "system.toml"),
                  "rb") as f:
            command = tomllib.load(f)["roles"]["rank"]["run"].split()
        if not os.access(os.path.join(stand.ROOT, command[0]), os.X_OK):
            raise stand.CannotRun(command[0] + " is not built")
        self.platform = platform
        self.sides = [Side(self, r) for r in range(ranks)]
        ips = [s.ip for s in self.sides]
        self.port = stand.free_port(ips)
        self.internal = stand.free_port(ips)
        metrics = stand.free_port(ips)
        self.command = [str(metrics) if a == "9464" else a for a in command]

    def configuration(self):
        c = stand.configuration(
            [stand.route("shelf", "/shelf/", "streaming", "draft",
                         sticky=True, resumable=True, itl_target_ms=120)],
            ["draft"])
        c["services"][0]["engine"] = {
            "slots": 12, "kv-capacity": 372000, "stride": 5,
            "models": [{"name": "m"}], "step_ms": 5.85, "per_seq_ms": 0.355,
            "context_per_k": 0.036, "read_per_s": 61200.0, "chunk": 512,
            "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 139},
            "sets": SETS, "experts": EXPERTS, "placements": PLACEMENTS,
            "spare": SPARE, "expert-mb": 73.0, "link-mbps": 44000.0,
            "expert-share": 0.85, "form_ms": 600.0}
        return c

    async def start(self, group):
        """Starts the engines of GROUP, the edges and the agents."""
        p = self.platform
        for s, k in zip(self.sides, group.ranks):
            await asyncio.start_server(
                lambda r, w, k=k: group.channel(r, w, k), s.ip, self.port)
        p.store.put("op/config", self.configuration())
        for s in self.sides:
            p.store.put(f"servers/i-{s.number:02x}", {
                "service": "draft", "address": f"{s.ip}:{self.port}",
                "zone": "z-a", "version": "v1", "slots": 12,
                "state": "ready", "cold-left-ms": 0, "seq": 1,
                "born": int(time.time() * 1000)})
        for e in p.edges:
            e.start()
        for s in self.sides:
            s.start(True)
        asyncio.create_task(group.run_passes())
        await asyncio.sleep(2)

    def close(self):
        for s in self.sides:
            if s.process and s.process.poll() is None:
                s.process.kill()
            if s.process:
                s.process.wait()
