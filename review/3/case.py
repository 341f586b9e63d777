"""An edge is killed while it passes on streams that end with their channel."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402

STREAMS = 8
EVENTS = 28  # of a stream, as on the sheet of qila-kiosk
GAP_S = 0.08  # between two events; the sheet allows 120 ms
KILL_AFTER_EVENTS = 10


def event(n):
    return f"id: {n}\ndata: piece {n} of the summary\n\n".encode()


WHOLE = b"".join(event(n) for n in range(1, EVENTS + 1))


def case(record):
    broken = []
    platform = stand.Platform(record)
    enough = threading.Event()

    def run(channel, method, target, headers, body):
        # An answer without length or chunks, which ends with its channel.
        first = int(headers.get("last-event-id", "0")) + 1
        channel.sendall(replica.head(headers, "Connection: close",
                                     "Content-Type: text/event-stream"))
        for n in range(first, EVENTS + 1):
            channel.sendall(event(n))
            time.sleep(GAP_S)
        record.add(replica.name, f"has answered {headers['x-attempt-id']} "
                   f"to its end, event {EVENTS}")
        return False

    replica = stand.Replica(record, "i-7f3a91c2",
                            ("127.0.0.1", stand.free_port(["127.0.0.1"])), run)

    def watch(answer):
        if answer.body.count(b"\n\n") >= KILL_AFTER_EVENTS:
            enough.set()

    def consume(n, answers):
        attempt = f"9c41d07be2a35f{n:02x}"
        channel = stand.socket.create_connection((edge.ip, platform.front))
        record.add("consumer", f"sends {attempt} to {edge.name}")
        channel.sendall(stand.request_text("POST", "/shelf/summary", attempt,
                                           8000, b"draft it", close=False))
        answers[n] = stand.Answer()
        stand.read_answer(channel, answers[n], watch)
        record.add("consumer", f"{attempt}: {answers[n]}, "
                   f"{answers[n].body.count(bytes([10, 10]))} events")
        channel.close()

    try:
        platform.start(
            stand.configuration(
                [stand.route("shelf", "/shelf/", "streaming", "draft",
                             sticky=True, resumable=True, itl_target_ms=120)],
                ["draft"]),
            [(replica, "draft")])
        edge = platform.edges[0]
        answers = [None] * STREAMS
        threads = [threading.Thread(target=consume, args=(n, answers))
                   for n in range(STREAMS)]
        for t in threads:
            t.start()
        if not enough.wait(10):
            raise stand.CannotRun("the streams do not begin")
        if stand.TROUBLE:
            edge.send_signal(signal.SIGKILL, "kills")
        for t in threads:
            t.join(15)
        for n, a in enumerate(answers):
            if a.status == 200 and a.end == "whole" and a.body != WHOLE:
                broken.append(
                    f"MIXED: stream {n} ended early, after "
                    f"{len(a.body)} of {len(WHOLE)} bytes, and looks complete")
        if not stand.TROUBLE and any(a.body != WHOLE for a in answers):
            broken.append("a stream is not whole without the disruption")
    finally:
        platform.close()
    return broken


stand.run_case(HERE, case)
