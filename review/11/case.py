"""A leader whose replica's entry lapses and comes back resumes a switch of
maps that another leader has begun to revoke."""

import asyncio
import json
import os
import subprocess
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-3"))

import stand  # noqa: E402
import group  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANKS = 8
LOST = 0.35          # of orders; x and for_s of the sheet are 0.35 and 5.5 s
LOST_S = 5.5
PAUSE_S = 6          # to the next time
STILL_S = 8
HEAL_S = 0.0
END_S = 100
PER_S = 12           # requests
ENGINE = {
    "slots": 12, "kv-capacity": 372000, "link-mbps": 44000.0, "stride": 1,
    "step_ms": 5.85, "per_seq_ms": 0.355, "context_per_k": 0.036,
    "read_per_s": 61200.0, "pairs_per_m": 0.325, "chunk": 512,
    "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 8}, "sets": 3,
    "experts": 32, "placements": 6, "spare": 4, "expert-mb": 78.0,
    "expert-share": 0.85, "form_ms": 600.0}


class Log:
    """Follows the phases of switches in the log of one agent."""

    def __init__(self, path):
        self.file = open(path)
        self.rest = ""

    def phases(self):
        self.rest += self.file.read()
        lines = self.rest.split("\n")
        self.rest = lines.pop()
        return [json.loads(line)["phase"] for line in lines
                if '"event":"switch"' in line]


async def case(record, folder):
    end = stand.now() + END_S - 6
    while True:
        status = await play_group(record, folder, end)
        if status is not None:
            return status
        record.add("the group and its agents are started anew")


async def play_group(record, folder, end):
    """Returns the exit status, or None where the play is of no use, as all
    further passes have two maps."""
    net = stand.loopback_net()
    store = stand.Store(net + ".201")
    await store.start()
    g = group.Group(net, RANKS, 3, 32, 6, 0, record)
    await g.start()
    config = stand.config([stand.route(
        "r-1", "/lohu930/", "streaming", "huvo11a", resumable=True,
        **{"itl-target-ms": 120})], ["huvo11a"])
    config["services"][0]["engine"] = ENGINE
    store.put("op/config", config)
    born = int(time.time() * 1000) - 60000

    def register(rank):
        store.put("servers/i-%d" % rank, stand.beat(
            "huvo11a", g.address(rank), "z-a", born))

    for r in range(RANKS):
        register(r)
    edges = stand.Edges(net, store, 1, folder)
    edges.addresses = [net + ".151"]
    agents = []
    try:
        edges.start()
        if not await edges.wait_ready():
            record.add("the edge is not ready")
            return 2
        internal = stand.free_port(net + ".1")
        for r in range(RANKS):
            path = os.path.join(folder, "side-%d.yaml" % r)
            text = stand.SETTINGS % {
                "name": "side-%d" % r, "ip": "%s.%d" % (net, r + 1),
                "zone": "z-a", "front": 1, "ready": 1, "control": 1,
                "seeds": '  - "%s:%d"' % (edges.addresses[0], edges.control),
                "store": "%s:%d" % (store.ip, store.port)}
            for old, new in (("- 7340", "- %d" % internal),
                             ("- 7355", "- %d" % (internal + 15)),
                             ("memory-mb: 260", "memory-mb: 128"),
                             ("link-mbps: 1000.0", "link-mbps: 20.0")):
                text = text.replace(old, new)
            with open(path, "w") as f:
                f.write(text)
                f.write('app: "%s"\nservice: "huvo11a"\n' % g.address(r))
            log = open(os.path.join(folder, "side-%d.log" % r), "w")
            agents.append(subprocess.Popen(
                ["target/bilberry-rank", "--metrics", "9464"], cwd=stand.ROOT,
                stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""),
                     "BILBERRYHOOK_CONFIG": path}))
        logs = [Log(os.path.join(folder, "side-%d.log" % r))
                for r in range(2)]
        return await play(record, g, store, register, logs,
                          (edges.addresses[0], edges.front), end)
    finally:
        edges.stop()
        for p in agents:
            p.kill()
        for p in agents:
            p.wait()


async def play(record, g, store, register, logs, front, end):
    begin = stand.now()
    requests = []   # when sent, and the consumer

    async def send():
        quiet = stand.Record(os.devnull)
        while True:
            c = stand.Consumer(front, "/lohu930/2f", "a-%d" % len(requests),
                               quiet)
            requests.append((stand.now(), c))
            asyncio.ensure_future(c.run(8))
            await asyncio.sleep(1 / PER_S)

    sending = asyncio.ensure_future(send())
    shifted = 0
    cuts = 0
    lost_at = begin + 6
    free_at = lost_at + 0.5
    back_at = healed_at = None
    seen, step_at = None, begin
    while True:
        now = stand.now()
        if now - shifted > 2:
            shifted = now
            g.shift()
        if now > lost_at + LOST_S + PAUSE_S and free_at:
            lost_at = now
            free_at = max(free_at, now + 0.5)
        losing = TROUBLE and lost_at < now < lost_at + LOST_S
        g.lost = LOST if losing else 0
        first, second = logs[0].phases(), logs[1].phases()
        if (losing and not back_at and free_at and now > free_at
                and now < lost_at + LOST_S - 1
                and first[-1:] == ["arming"]):
            store.remove("servers/i-0")
            cuts += 1
            record.add("cut %d: the entry of rank 0 expires while its agent "
                       "arms the ranks; step %d" % (cuts, g.step))
            back_at = now + 1.5
        if back_at and "clearing" in second:
            back_at = min(back_at, now + HEAL_S)
        if back_at and now > back_at:
            register(0)
            record.add("the cut has healed: the entry is back; rank 1's "
                       "agent %s" % (second or "does not settle"))
            back_at, free_at, healed_at = None, now + 5, now
        if g.step != seen:
            seen, step_at = g.step, now
        if healed_at and now - max(step_at, healed_at) > STILL_S:
            record.add("no pass for %.1f s: the group stands still, see the "
                       "case of RECOVER" % (now - step_at))
            sending.cancel()
            return None
        if g.mismatches:
            record.add("step %d: a pass began while the ranks had the maps %r"
                       % (g.step, [r.map_version for r in g.ranks]))
            await asyncio.sleep(2)
            record.add("2 s later: %d of %d passes began with two maps" % (
                g.mismatches, g.step))
            return 1
        if now > end:
            record.add("%d cuts, %d passes, none began with two maps; %d of "
                       "%d orders without an answer" % (
                           cuts, g.step, g.unanswered, g.orders))
            return 0
        await asyncio.sleep(0.002)


stand.main(case, HERE)
