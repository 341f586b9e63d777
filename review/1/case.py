"""Replicas break off answers that have no length, by a reset."""

import os
import queue
import random
import sys
import threading
import time

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

REPLICAS = 4
FAULTY = 2  # garble: share 0.5 of the replicas
BROKEN_OFF = 0.05  # and x = 0.05 of their answers
PER_S = 64  # requests a second, as on the sheet of qila-kiosk
LENGTH_S = 40
CONSUMERS = 16
SIZE = 4000  # bytes of an answer; the site has up to 4800
SENT = 1500  # of one that is broken off


def case(record):
    broken = []
    platform = stand.Platform(record)
    draws = random.Random(39)
    lock = threading.Lock()
    broken_off = {}  # how often, by attempt id
    whole = set()

    def body_of(attempt):
        return (attempt.encode() + b" ") * (SIZE // (len(attempt) + 1))

    def run_at(me, faulty):
        def run(channel, method, target, headers, body):
            attempt = headers["x-attempt-id"]
            text = body_of(attempt)
            time.sleep(0.005)
            # An answer without length or chunks, which ends with its channel.
            head = me[0].head(headers, "Connection: close")
            with lock:
                breaks = (stand.TROUBLE and faulty
                          and draws.random() < BROKEN_OFF)
                if breaks:
                    broken_off[attempt] = broken_off.get(attempt, 0) + 1
                else:
                    whole.add(attempt)
            if breaks:
                record.add(me[0].name, f"breaks off the answer to {attempt}: "
                           f"{SENT} of {len(text)} bytes, then a reset")
                channel.sendall(head + text[:SENT])
                stand.reset(channel)
            else:
                channel.sendall(head + text)
            return False
        return run

    replicas = []
    for n in range(REPLICAS):
        me = []
        me.append(stand.Replica(
            record, f"i-{n:02x}",
            ("127.0.0.1", stand.free_port(["127.0.0.1"])),
            run_at(me, n < FAULTY)))
        replicas.append(me[0])
    answers = {}
    work = queue.Queue()

    def consume():
        while True:
            n = work.get()
            if n is None:
                return
            attempt = f"9c41d07be2a3{n:04x}"
            edge = platform.edges[n % len(platform.edges)]
            answer = stand.Answer()
            channel = stand.socket.create_connection((edge.ip, platform.front))
            channel.settimeout(5)
            channel.sendall(stand.request_text("GET", "/stock/levels", attempt,
                                               1500, close=False))
            stand.read_answer(channel, answer)
            channel.close()
            with lock:
                answers[attempt] = answer

    try:
        platform.start(
            stand.configuration(
                [stand.route("stock", "/stock/", "idempotent", "depot",
                             timeout_ms=800, slo_ms=150)], ["depot"]),
            [(r, "depot") for r in replicas])
        threads = [threading.Thread(target=consume) for _ in range(CONSUMERS)]
        for t in threads:
            t.start()
        start = time.monotonic()
        for n in range(PER_S * LENGTH_S):
            time.sleep(max(0, start + n / PER_S - time.monotonic()))
            work.put(n)
        for _ in threads:
            work.put(None)
        for t in threads:
            t.join(20)
        served = 0
        for attempt, a in sorted(answers.items()):
            if attempt in broken_off or a.status != 200 or a.end != "whole":
                record.add("consumer", f"{attempt}: {a}")
            if a.status != 200 or a.end != "whole":
                continue
            served += 1
            if a.body != body_of(attempt):
                broken.append(f"MIXED: {attempt} got {len(a.body)} of "
                              f"{len(body_of(attempt))} bytes, which look "
                              f"complete")
        record.add("consumers", f"{served} of {len(answers)} requests were "
                   f"answered with success; replicas broke off "
                   f"{sum(broken_off.values())} answers, and {len(broken)} of "
                   f"these looked complete")
    finally:
        platform.close()
    return broken


stand.run_case(HERE, case)
