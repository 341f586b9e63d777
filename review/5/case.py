"""Requests with long bodies come in a burst."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

MEMORY_MB = 260  # limits.memory-mb of the settings
BODY = b"b" * 2621440  # limits.max-body-bytes of the configuration is 4194304
PER_S = 21  # requests a second of one edge, as on the sheet: 63.8 / 3
BURST = 1.7  # burst of qila-kiosk, for 3 s
BURST_S = 3
EVENTS = 28
FIRST_S = 0.3  # from the request to the first event; the sheet aims at 0.4
GAP_S = 0.03
USERS = 30  # consumers, each with a kept channel
USERS_BURST = 108  # many users come at once


def case(record):
    broken = []
    platform = stand.Platform(record)
    replicas = []
    killed = threading.Event()
    peak = [0.0]

    def run(channel, method, target, headers, body):
        me = next(r for r in replicas
                  if r.name == headers["x-expect-replica"])
        channel.sendall(me.head(headers, "Transfer-Encoding: chunked",
                                "Content-Type: text/event-stream"))
        time.sleep(FIRST_S if body else 0)
        for n in range(1, EVENTS + 1):
            text = b"id: %d\ndata: piece\n\n" % n
            channel.sendall(b"%x\r\n%s\r\n" % (len(text), text))
            time.sleep(GAP_S if body else 0)
        channel.sendall(b"0\r\n\r\n")
        return True

    def ask(n, channel, attempt, body, answers):
        answers[n] = stand.Answer()
        try:
            channel.sendall(stand.request_text(
                "POST", "/shelf/summary", attempt, 8000, body, close=False))
        except OSError:
            return
        stand.read_answer(channel, answers[n])

    def watch_memory():
        # "A process that exceeds `memory-mb` is killed."
        while not killed.is_set():
            try:
                now = edge.memory_mb()
            except OSError:
                return
            peak[0] = max(peak[0], now)
            if now > MEMORY_MB:
                record.add("platform", f"{edge.name} has {now:.0f} MB, "
                           f"memory-mb is {MEMORY_MB}")
                edge.send_signal(signal.SIGKILL, "kills, for its memory,")
                killed.set()
            time.sleep(0.01)

    try:
        for n in range(12):
            replicas.append(stand.Replica(
                record, f"i-{n:02x}",
                ("127.0.0.1", stand.free_port(["127.0.0.1"])), run))
        platform.start(
            stand.configuration(
                [stand.route("shelf", "/shelf/", "streaming", "draft",
                             sticky=True, resumable=True, itl_target_ms=120)],
                ["draft"]),
            [(r, "draft") for r in replicas])
        edge = platform.edges[0]
        channels = []
        users = USERS_BURST if stand.TROUBLE else USERS
        for n in range(users):
            c = stand.socket.create_connection((edge.ip, platform.front))
            c.settimeout(10)
            first = [None]
            ask(0, c, f"kept{n:04x}", b"", first)
            if first[0].end != "whole":
                raise stand.CannotRun("a channel cannot be kept")
            channels.append(c)
        per_s = PER_S * (BURST if stand.TROUBLE else 1)
        count = int(per_s * BURST_S)
        answers = [stand.Answer() for _ in range(count)]
        threads = []
        threading.Thread(target=watch_memory, daemon=True).start()
        record.add("consumers", f"{users} users, {per_s:.0f} requests a second for "
                   f"{BURST_S} s, {len(BODY)} bytes each")
        start = time.monotonic()
        for n in range(count):
            time.sleep(max(0, start + n / per_s - time.monotonic()))
            if killed.is_set():
                break
            t = threading.Thread(target=ask, args=(
                n, channels[n % users], f"burst{n:04x}", BODY, answers))
            t.start()
            threads.append(t)
        for t in threads:
            t.join(12)
        killed.set()
        for n in range(len(threads)):
            record.add("consumer", f"burst{n:04x}: {answers[n]}")
        record.add("platform", f"{edge.name} had {peak[0]:.0f} MB at the most")
        ran = {a for r in replicas for a in r.ran}
        lost = [n for n in range(len(threads)) if f"burst{n:04x}" in ran
                and answers[n].status == 0]
        cut = [n for n in range(len(threads)) if answers[n].status != 0
               and answers[n].end != "whole"]
        record.add("consumers", f"{len(lost)} requests of kept channels were "
                   f"passed on and their channel closed without an answer, "
                   f"{len(cut)} answers were cut")
        if len(lost) > 3:
            broken.append(f"LOST: {len(lost)} requests of kept channels were "
                          "passed on to sound replicas and got no answer")
    finally:
        platform.close()
    return broken


stand.run_case(HERE, case)
