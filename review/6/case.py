"""DRAIN: after a loss of all edges, a replica that left meanwhile is sent work
for as long as it answers."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "stand-2"))
import stand

DRAIN_S = 2.0         # drain-ms
TOUCH_S = 3.0         # stability-window-ms
SERVES_ON_S = 14.0    # how long the replica serves after its entry has gone
DOWN_S = 1.0          # how long the edges are down
CALLERS = 6           # at each edge


async def calls(fleet, edge, stop, answers):
    """Sends orders to EDGE, one after the other."""
    while not stop.is_set():
        attempt, answer = await fleet.call(edge, "/order/2f")
        answers.append((fleet.record.now(), attempt, answer))
        await asyncio.sleep(0.05)


async def play(record, trouble):
    fleet = stand.Fleet(record)
    await fleet.start()
    record.say("all edges are ready")
    stop = asyncio.Event()
    answers = []
    tasks = [asyncio.create_task(calls(fleet, n, stop, answers))
             for n in range(len(fleet.edges)) for _ in range(CALLERS)]
    await asyncio.sleep(4)
    leaver = fleet.replicas[1]
    if trouble:
        for edge in fleet.edges:
            edge.kill()
        record.say("all edges are killed at once")
    await asyncio.sleep(0.2)
    leaver.unregister()
    removed_s = record.now()
    record.say("the store removes servers/%s, which never said draining, at "
               "revision %d" % (leaver.id, fleet.store.revision))
    started_s = removed_s
    if trouble:
        await asyncio.sleep(DOWN_S - 0.2)
        for edge in fleet.edges:
            edge.start()
        started_s = record.now()
        record.say("all edges are started again")
        await fleet.await_ready(10)
    await asyncio.sleep(removed_s + SERVES_ON_S - record.now())
    exit_s = record.now()
    leaver.stop()
    record.say("%s exits" % leaver.id)
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*tasks)
    if fleet.died():
        raise stand.CannotRun("ended by themselves: %s" % fleet.died())

    # Edges are in touch from TOUCH_S after their start; the store and all
    # links are sound throughout.
    bound_s = max(removed_s + DRAIN_S, started_s + TOUCH_S)
    late = [(at, attempt) for at, attempt in leaver.ran if at > bound_s]
    early = [a for a in leaver.ran if a[0] < removed_s]
    served = [a for at, _, a in answers if a.status == 200 and at > bound_s]
    lost = [(at, a.status or a.how) for at, _, a in answers
            if exit_s - 0.1 < at < exit_s + 1 and a.status in (0, 502)]
    record.say("%s ran %d requests before its entry was removed, %d later than "
               "%.1f s after that by edges in touch (until %.1f s after it)"
               % (leaver.id, len(early), len(late), DRAIN_S,
                  late[-1][0] - removed_s if late else 0))
    record.say("%d orders were lost as it exited: %s" % (len(lost), lost))
    if not early or not served:
        raise stand.CannotRun("too few requests were served")
    return not late


stand.main(play)
