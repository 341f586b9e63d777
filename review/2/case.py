"""Orders to arm are carried out late, and the leader that gave them is killed
meanwhile, in a group that has nothing to do for some seconds."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.realpath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand"))
import stand  # noqa: E402
import group as engines  # noqa: E402

RANKS = 4
LATE_S = (2.5, 5.0, 8.0)  # applied_late: 2 to 12 s later
IDLE_S = 2.55  # from the orders to arm to the next requests
RESTART_S = 0.5  # "restarted after a short delay"
SWITCHES_BEFORE = 2
WAIT_S = 30


async def play(record, platform, sides):
    loop = asyncio.get_running_loop()
    armed_late = []  # ranks whose order to arm came late
    watched = {"on": False}
    ended = asyncio.Event()

    def is_late(k, o):
        if (watched["on"] and stand.TROUBLE and o["op"] == "arm"
                and len(armed_late) < RANKS - 1):
            armed_late.append(k.number)
            return LATE_S[len(armed_late) - 1]
        return None

    def on_order(k, o):
        if not watched["on"] or ended.is_set():
            return
        if o["op"] == "prepare" and group.busy and group.passes_left is None:
            group.passes_left = 1  # the last requests are nearly done
        if stand.TROUBLE and len(armed_late) == RANKS - 1:
            # The machine that gave the last order ("giver").
            ended.set()
            leader = sides.sides[0]
            leader.kill()
            loop.call_later(RESTART_S, leader.start, False)
        elif not stand.TROUBLE and o["op"] == "go":
            ended.set()

    group = engines.Group(record, RANKS, is_late, on_order)
    await sides.start(group)
    group.busy = True
    record.add("consumers", "requests run")
    for _ in range(SWITCHES_BEFORE):
        maps = group.maps
        for _ in range(WAIT_S * 10):
            await asyncio.sleep(0.1)
            if group.maps > maps:
                break
        else:
            raise stand.CannotRun("the map is not changed")
        await asyncio.sleep(1)
        group.shift()
        record.add("consumers", "other experts are in demand")
    watched["on"] = True
    try:
        await asyncio.wait_for(ended.wait(), WAIT_S)
    except asyncio.TimeoutError:
        raise stand.CannotRun("there is no switch to disturb") from None
    await asyncio.sleep(IDLE_S)
    group.busy = True
    record.add("consumers", "requests run again")
    await asyncio.sleep(10)
    record.add("group", f"{group.late} of {group.orders} orders were carried "
               f"out late; {group.step} passes, {group.maps} changes of map, "
               f"{group.mixed} passes with different maps")
    return group.broken


def case(record):
    platform = stand.Platform(record)
    sides = engines.Sides(platform, RANKS)
    try:
        return asyncio.run(play(record, platform, sides))
    finally:
        sides.close()
        platform.close()


stand.run_case(HERE, case)
