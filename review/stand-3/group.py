"""A stand-in for the replicas of one group of ranks, which run each pass
together, take orders and answer requests by streams, an event in each pass.
A part of the orders is carried out and gets no answer."""

import asyncio
import json
import random

import stand

PASS_S = 0.045
COPY_S = 0.015
EVENTS = 8
SLOTS = 12


class Rank:
    def __init__(self, group, number):
        self.group = group
        self.number = number
        self.map_version = 0
        self.prepared_version = 0
        self.highest_version = 0
        self.copying_version = 0
        self.armed_version = 0
        self.armed_step = 0
        self.held_step = 0
        self.seq = 0
        self.map = group.first_map
        self.prepared = None
        self.waiting = []   # futures of requests, in the order of arrival
        self.running = []

    def finish_copy(self):
        if self.copying_version and stand.now() >= self.copy_end:
            self.prepared_version = self.copying_version
            self.copying_version = 0

    def report(self):
        self.finish_copy()
        return {"stage": "unified", "models": [], "busy": False,
                "seq": self.seq, "queued": len(self.waiting),
                "running": len(self.running), "kv-used": 0,
                "kv-total": 372000, "handles": 0, "pace": 1,
                "group": {"name": "g", "epoch": 1, "rank": self.number,
                          "state": "open"}, "size": self.group.ranks_count,
                "step": self.group.step, "map": self.map_version,
                "prepared": self.prepared_version,
                "armed": {"version": self.armed_version,
                          "step": self.armed_step},
                "held": self.held_step}

    def order(self, o):
        op = o.get("op")
        version, at = o.get("version", 0), o.get("step", 0)
        step = self.group.step
        self.finish_copy()
        if o.get("epoch", 1) != 1:
            return 409
        if op == "prepare":
            if version in (self.prepared_version, self.copying_version):
                return 200
            if version <= self.highest_version or self.armed_version:
                return 409
            new = sum(len(set(row[self.number]) - set(old[self.number]))
                      for row, old in zip(o["map"], self.map))
            self.highest_version = self.copying_version = version
            self.prepared_version = 0
            self.prepared = o["map"]
            self.copy_end = stand.now() + new * COPY_S
        elif op == "arm":
            if (self.armed_version, self.armed_step) == (version, at):
                return 200
            if self.prepared_version != version or at <= step:
                return 409
            self.armed_version, self.armed_step = version, at
        elif op == "disarm":
            if self.map_version == version:
                return 409
            if self.armed_version != version:
                return 200
            self.armed_version = self.armed_step = 0
        elif op == "hold":
            if self.held_step == at:
                return 200
            if self.held_step or at <= step:
                return 409
            self.held_step = at
        elif op == "go":
            if self.held_step != at:
                return 200
            self.held_step = 0
        else:
            return 400
        self.seq += 1
        return 202


class Group:
    def __init__(self, net, ranks, sets, experts, places, lost, record):
        self.net = net
        self.port = stand.free_port(net + ".1")
        self.ranks_count = ranks
        self.sets, self.experts, self.places = sets, experts, places
        self.lost = lost
        self.record = record
        self.random = random.Random(1)
        self.step = 0
        self.mismatches = 0
        self.unanswered = self.orders = 0
        self.first_map = [[[e for e in range(experts) if e % ranks == r]
                           for r in range(ranks)] for _ in range(sets)]
        self.ranks = [Rank(self, r) for r in range(ranks)]
        self.counts = [0.0] * (sets * experts)
        self.shift()

    def shift(self):
        self.loads = [1 / (0.15 + 2 * self.random.random())
                      for _ in self.counts]

    def address(self, rank):
        return "%s.%d:%d" % (self.net, rank + 1, self.port)

    async def start(self):
        for r in self.ranks:
            await asyncio.start_server(
                lambda reader, writer, r=r: self.serve(r, reader, writer),
                "%s.%d" % (self.net, r.number + 1), self.port)
        asyncio.ensure_future(self.run())

    async def run(self):
        """Begins a pass each PASS_S while there is work and none is held."""
        while True:
            await asyncio.sleep(PASS_S)
            work = any(r.waiting or r.running for r in self.ranks)
            held = any(r.held_step and self.step + 1 >= r.held_step
                       for r in self.ranks)
            if not work or held:
                continue
            self.step += 1
            for r in self.ranks:
                if r.armed_version and r.armed_step == self.step:
                    r.map_version, r.map = r.armed_version, r.prepared
                    r.armed_version = r.armed_step = 0
            if any(r.map_version != self.ranks[0].map_version
                   for r in self.ranks):
                self.mismatches += 1
            for i, l in enumerate(self.loads):
                self.counts[i] += 30 * l
            for r in self.ranks:
                while r.waiting and len(r.running) < SLOTS:
                    r.running.append(r.waiting.pop(0))
                for q in list(r.running):
                    q.put_nowait(self.step)

    async def stream(self, rank, headers, writer):
        attempt = headers.get("x-attempt-id", "")
        first = int(headers.get("last-event-id", "0") or "0") + 1
        q = asyncio.Queue()
        rank.waiting.append(q)
        try:
            for i in range(first, EVENTS + 1):
                await q.get()
                if i == first:
                    writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
                                  "X-Replica-Signature: s\r\n"
                                  "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n"
                                  % attempt).encode())
                text = ("id: %d\ndata: part %d\n\n" % (i, i)).encode()
                writer.write(b"%x\r\n" % len(text) + text + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            for where in (rank.waiting, rank.running):
                if q in where:
                    where.remove(q)

    async def serve(self, rank, reader, writer):
        def answer(status, value=None):
            body = json.dumps(value).encode() if value is not None else b""
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                         b"\r\nContent-Length: %d\r\n\r\n"
                         % (status, len(body)) + body)

        try:
            while True:
                head = await stand.read_head(reader)
                if not head:
                    break
                line, headers = head
                method, target = line.split(" ")[:2]
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                if target == "/v1/report":
                    answer(200, rank.report())
                elif target == "/v1/picked":
                    answer(200, {"step": self.step, "epoch": 1,
                                 "counts": [int(c) for c in self.counts]})
                elif target.startswith("/v1/picked"):
                    answer(200, {"map": {
                        "version": rank.map_version,
                        "experts": [s[rank.number] for s in rank.map]}})
                elif target == "/v1/order":
                    status = rank.order(json.loads(body))
                    self.orders += 1
                    if self.random.random() < self.lost:
                        self.unanswered += 1
                        await reader.read(1)
                        break
                    answer(status)
                else:
                    work = asyncio.ensure_future(
                        self.stream(rank, headers, writer))
                    gone = asyncio.ensure_future(reader.read(1))
                    await asyncio.wait({work, gone},
                                       return_when=asyncio.FIRST_COMPLETED)
                    if not work.done():
                        work.cancel()
                        await asyncio.wait({work})
                        break
                    gone.cancel()
                    try:
                        await gone
                    except asyncio.CancelledError:
                        pass
                    if work.exception():
                        break
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()
