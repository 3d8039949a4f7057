"""Engines whose answers have no length crash one after the other; equal lookups and other requests."""

import asyncio
import collections
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import fleet  # noqa: E402

NODES = 3
DAY_SECONDS = 90
LOOKUPS_PER_SECOND, BOOKINGS_PER_SECOND = 80, 120
# One of four engines at a time.
CRASH_SECONDS = (1, 5, 9, 13, 17, 21)
DOWN_SECONDS = 3
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For comparison only: the answers have a length.
HAS_LENGTH = os.environ.get("HAS_LENGTH", "0") != "0"


async def send(kind, per_second, lab, end, served):
    """Sound callers: lookups are all about one thing, bookings differ in their body."""
    tasks, count = [], 0

    async def one(attempt, request):
        status = await fleet.ask(random.choice(lab.nodes).address, attempt, lab.record, request)
        served[kind][status] += 1

    while time.monotonic() < end:
        count += 1
        attempt = "%s-%d" % (kind, count)
        if kind == "lookup":
            request = fleet.request_head("GET", attempt) + b"\r\n"
        else:
            body = b"%08d" % count
            request = fleet.request_head("POST", attempt, "Content-Length: 8\r\n",
                                         "/booking/x") + b"\r\n" + body
        tasks.append(asyncio.create_task(one(attempt, request)))
        await asyncio.sleep(random.expovariate(per_second))
    await asyncio.gather(*tasks)


async def crash_engines(lab, begin):
    for number, at in enumerate(CRASH_SECONDS):
        await asyncio.sleep(begin + at - time.monotonic())
        engine = lab.engines[number % len(lab.engines)]
        engine.crash()
        await asyncio.sleep(DOWN_SECONDS)
        await engine.start(lab.store)


async def main():
    lab = fleet.Fleet(HERE)
    served = {"lookup": collections.Counter(), "booking": collections.Counter()}
    try:
        await lab.start(NODES)
        for engine in lab.engines:
            engine.has_length, engine.work_seconds = HAS_LENGTH, 0.06
        begin = time.monotonic()
        end = begin + DAY_SECONDS
        tasks = [send("lookup", LOOKUPS_PER_SECOND, lab, end, served),
                 send("booking", BOOKINGS_PER_SECOND, lab, end, served)]
        if TROUBLE:
            tasks.append(crash_engines(lab, begin))
        await asyncio.gather(*tasks)
    finally:
        lab.stop()
    print(", ".join("%s: %s" % (kind, dict(counts)) for kind, counts in served.items()))
    total = sum(sum(counts.values()) for counts in served.values())
    share = sum(counts[200] for counts in served.values()) / total
    shares = {kind: counts[200] / sum(counts.values()) for kind, counts in served.items()}
    print("served: all %.3f, %s" % (share, shares))
    return all(each >= share / 4 for each in shares.values())


fleet.run_case(main)
