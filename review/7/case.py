"""Chunked bodies in very small chunks on more channels than a node accepts, and ordinary callers."""

import asyncio
import os
import resource
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import fleet  # noqa: E402

CROWD = 2600
CHUNK_INTERVAL_SECONDS = 0.3
CALLERS = 10
MEASURE_SECONDS = 12
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def send_small_chunks(number, address, end, counts):
    """A client that nobody controls: a chunked body of 8 bytes a chunk; it returns if it is refused."""
    tries = 0
    while time.monotonic() < end:
        tries += 1
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(address, fleet.FRONT_PORT), 1)
        except (OSError, asyncio.TimeoutError):
            await asyncio.sleep(0.5)
            continue
        counts["opened"] += 1
        try:
            writer.write(fleet.request_head("POST", "t%d-%d" % (number, tries),
                                            "Transfer-Encoding: chunked\r\n") + b"\r\n")
            while time.monotonic() < end and not reader.at_eof():
                writer.write(b"8\r\nxxxxxxxx\r\n")
                await writer.drain()
                await asyncio.sleep(CHUNK_INTERVAL_SECONDS)
        except ConnectionError:
            pass
        finally:
            counts["closed"] += 1
            writer.close()
        await asyncio.sleep(0.5)


async def call(number, address, end, record, tries, answers):
    """An ordinary caller: one lookup after the other, each on a new channel."""
    count = 0
    while time.monotonic() < end:
        count += 1
        tries.append(number)
        if await fleet.ask(address, "o%d-%d" % (number, count), record) is not None:
            answers.append(time.monotonic())
        await asyncio.sleep(0.2)


async def main():
    lab = fleet.Fleet(HERE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    counts = {"opened": 0, "closed": 0}
    tries, answers, readiness, most_memory = [], [], [], 0
    try:
        await lab.start(1)
        node = lab.nodes[0]
        end = time.monotonic() + 8 + MEASURE_SECONDS
        crowd = []
        for number in range(CROWD if TROUBLE else 0):
            crowd.append(asyncio.create_task(
                send_small_chunks(number, node.address, end, counts)))
            if number % 20 == 0:
                await asyncio.sleep(0.02)
        # Time for the node to refuse whom it wants to refuse.
        await asyncio.sleep(3)
        begin = time.monotonic()
        end_measure = begin + MEASURE_SECONDS
        tasks = [asyncio.create_task(call(number, node.address, end_measure, lab.record, tries,
                                          answers)) for number in range(CALLERS)]
        while time.monotonic() < end_measure:
            readiness.append(await node.is_ready())
            most_memory = max(most_memory, node.resident_mb())
            lab.record("ready", readiness[-1], "crowd", counts["opened"] - counts["closed"],
                       "resident MB", most_memory)
            await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)
    finally:
        for task in crowd if TROUBLE else []:
            task.cancel()
        lab.stop()
    gap = fleet.longest_gap(answers, begin, end_measure)
    print("%d callers tried %d times, %d answers; longest time without an answer %.1f s; ready in "
          "%d of %d checks; crowd: %d channels opened, %d closed; at most %d MB"
          % (len(set(tries)), len(tries), len(answers), gap, sum(readiness), len(readiness),
             counts["opened"], counts["closed"], most_memory))
    broken = all(readiness) and len(set(tries)) >= 7 and gap > fleet.CONTACT_MS / 1000
    return not broken


fleet.run_case(main)
