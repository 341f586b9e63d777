"""A leader whose replica's entry lapses and comes back resumes a switch of
maps that another leader has begun to revoke."""

import asyncio
import json
import os
import random
import subprocess
import sys
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "stand-3"))

import stand  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RANKS = 8
LOST_PERCENT = 35   # of orders; the sheet's x is 0.35
END_S = 95
STILL_S = 8


def get(address, path):
    url = "http://%s%s" % (address, path)
    return urllib.request.urlopen(url, timeout=3).read()


class Log:
    """Follows the log of one agent."""

    def __init__(self, path):
        self.file = open(path)
        self.rest = ""

    def phases(self):
        """Returns the phases that were entered since the last call."""
        self.rest += self.file.read()
        lines = self.rest.split("\n")
        self.rest = lines.pop()
        found = []
        for line in lines:
            if '"event":"switch"' in line:
                found.append(json.loads(line)["phase"])
        return found


async def case(record, folder):
    end = stand.now() + END_S
    while True:
        status = await play_group(record, folder, end)
        if status is not None:
            return status
        record.add("the group and its agents are started anew")


async def play_group(record, folder, end):
    """Returns the exit status, or None where the group stands still for
    good."""
    loop = asyncio.get_event_loop()
    net = stand.loopback_net()
    store = stand.Store(net + ".201")
    await store.start()
    group_address = "127.0.0.1:%d" % stand.free_port("127.0.0.1")
    children = []

    def start(command, name, env=None):
        log = open(os.path.join(folder, name + ".log"), "w")
        p = subprocess.Popen(command, cwd=stand.ROOT, stdout=log, stderr=log,
                             stdin=subprocess.DEVNULL,
                             env=env or {"PATH": os.environ.get("PATH", "")})
        children.append(p)

    async def state():
        return json.loads(await loop.run_in_executor(None, get, group_address,
                                                     "/state"))

    edges = None
    try:
        start(["build/fake-group", "--address", group_address,
               "--ranks", str(RANKS), "--sets", "3", "--experts", "32",
               "--places", "6", "--spare", "4", "--pass-ms", "45",
               "--copy-ms", "15", "--lost",
               str(LOST_PERCENT if TROUBLE else 0), "--seed", "1"], "group")
        await asyncio.sleep(0.5)
        port = stand.free_port("127.1.0.1")
        await loop.run_in_executor(None, get, group_address,
                                   "/start?port=%d" % port)
        config = stand.config([stand.route(
            "r-1", "/lohu930/", "streaming", "huvo11a", resumable=True)],
            ["huvo11a"])
        config["services"][0]["engine"] = {
            "slots": 12, "kv-capacity": 372000, "link-mbps": 44000.0,
            "stride": 5, "step_ms": 5.85, "per_seq_ms": 0.355,
            "context_per_k": 0.036, "read_per_s": 61200.0,
            "pairs_per_m": 0.325, "chunk": 512, "report_lag_ms": 200.0,
            "usual": {"prompt": 835, "answer": 139}, "sets": 3, "experts": 32,
            "placements": 6, "spare": 4, "expert-mb": 78.0,
            "expert-share": 0.85, "form_ms": 600.0}
        store.put("op/config", config)
        born = int(time.time() * 1000) - 60000

        def register(rank):
            store.put("servers/i-%d" % rank, stand.beat(
                "huvo11a", "127.1.0.%d:%d" % (rank + 1, port), "z-a", born))

        for r in range(RANKS):
            register(r)
        edges = stand.Edges(net, store, 1, folder)
        edges.start()
        if not await edges.wait_ready():
            record.add("the edge is not ready")
            return 2
        internal = stand.free_port("127.1.0.1")
        for r in range(RANKS):
            path = os.path.join(folder, "side-%d.yaml" % r)
            text = stand.SETTINGS % {
                "name": "side-%d" % r, "ip": "127.1.0.%d" % (r + 1),
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
                f.write('app: "127.1.0.%d:%d"\nservice: "huvo11a"\n'
                        % (r + 1, port))
            start(["target/bilberry-rank", "--metrics", "9464"], "side-%d" % r,
                  {"PATH": os.environ.get("PATH", ""),
                   "BILBERRYHOOK_CONFIG": path})
        logs = [Log(os.path.join(folder, "side-%d.log" % r))
                for r in range(2)]
        return await play(record, loop, state, store, register, logs,
                          group_address, end)
    finally:
        if edges:
            edges.stop()
        for p in children:
            p.kill()
        for p in children:
            p.wait()


async def play(record, loop, state, store, register, logs, group_address,
               end):
    shifted = 0
    cuts = 0
    free_at = stand.now() + 6
    back_at = None   # when the entry of rank 0 comes back
    seen = None
    step_at = stand.now()
    longest = 0
    healed_at = 0
    while stand.now() < end:
        now = stand.now()
        if now - shifted > 2:
            shifted = now
            await loop.run_in_executor(None, get, group_address, "/shift")
        first, second = logs[0].phases(), logs[1].phases()
        if TROUBLE and not back_at and now > free_at and first[-1:] == [
                "arming"]:
            # The replica has been cut off from the store for three intervals
            # of heartbeat-ms, 3.6 s: its entry expires.
            store.remove("servers/i-0")
            cuts += 1
            record.add("cut %d: the entry of rank 0 expires while its agent "
                       "arms the ranks" % cuts)
            back_at = now + 1.5
        if back_at and (now > back_at or "disarming" in second):
            register(0)
            record.add("the cut has healed: the entry is back; rank 1's "
                       "agent %s" % (second or "does not settle"))
            back_at = None
            healed_at = now
            free_at = now + 5
        s = await state()
        if s["step"] != seen:
            seen, step_at = s["step"], now
        longest = max(longest, now - step_at)
        if not back_at and now - max(step_at, healed_at) > STILL_S:
            record.add("no pass for %.1f s, %.1f s after the cut has healed"
                       % (now - step_at, now - healed_at))
            return None
        if s["mismatches"]:
            record.add("passes began while two ranks had different maps: %r"
                       % s)
            return 1
        await asyncio.sleep(0.002)
    record.add("%d cuts, no pass with two maps: %r; the longest standstill "
               "was %.1f s" % (cuts, s, longest))
    return 0


stand.main(case, HERE)
