"""A part of prompts that crashes engines, in a quiet hour with few sound requests."""

import asyncio
import collections
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import fleet  # noqa: E402

NODES, ENGINES, SLOTS = 3, 9, 18
DAY_SECONDS, QUIET_FROM_SECONDS = 95, 12
# Time between two sound requests before and in the quiet hour; there the first deadly requests come
# closely one after the other, between two sound ones.
BUSY_GAP_SECONDS, QUIET_GAP_SECONDS = 0.4, 3
FIRST_DEADLY, FIRST_DEADLY_GAP_SECONDS, DEADLY_GAP_SECONDS = 4, 0.5, 2
EVENTS, EVENT_GAP_SECONDS = 8, 0.06
ENGINE_BACK_SECONDS = 3
KEY = "i9n73hh2b9wu3fexd9dn"
# The parts that sound requests share, with each other and with the deadly ones.
FIRST_PART, SUBJECT_PART, DEADLY_PART = "60aa:60", "5e1:200", "dead:300"
ROUTE = {"Name": "r-check", "Host": fleet.HOST, "PathPrefix": "/check/", "Kind": "streaming",
         "TimeoutMs": 12000, "AimMs": 300, "Priority": 2, "Service": "desk", "MaxAttempts": 2,
         "Public": False, "Sticky": True, "Resumable": True, "GapTargetMs": 300}
TENANT = {"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Day:
    def __init__(self):
        self.lab = fleet.Fleet(HERE)
        self.crashes, self.restarts = [], []
        self.begun = set()
        # Time and attempt id of each sound request.
        self.sound, self.statuses = [], collections.Counter()

    async def answer(self, engine, headers, writer, echo):
        """A stream in chunks; an engine that begins to write one on the deadly part crashes."""
        attempt = headers["comfreypass-attempt-id"]
        self.begun.add(attempt)
        await asyncio.sleep(0.05)
        if DEADLY_PART in headers["comfreypass-prompt-prefix"]:
            if engine.crash():
                self.crashes.append(time.monotonic())
                self.restarts.append(asyncio.create_task(self.restart(engine)))
            return
        writer.write(b"HTTP/1.1 200 OK\r\n" + echo + b"Comfreypass-Response-Seal: "
                     + engine.name.encode() + b"\r\nContent-Type: text/event-stream\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n")
        for number in range(int(headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_SECONDS)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def restart(self, engine):
        await asyncio.sleep(ENGINE_BACK_SECONDS)
        await engine.start(self.lab.store)

    async def one(self, attempt, parts, body):
        request = fleet.request_head(
            "POST", attempt, "Authorization: Bearer %s\r\nComfreypass-Model: m\r\n"
            "Comfreypass-Token-Counts: 660,48\r\nComfreypass-Prompt-Prefix: %s\r\n"
            "Content-Length: %d\r\n" % (KEY, ",".join(parts), len(body)), "/check/x")
        status = await fleet.ask(random.choice(self.lab.nodes).address, attempt, self.lab.record,
                                 request + b"\r\n" + body)
        self.statuses[attempt.split("-")[0], status] += 1

    def start(self, kind, count):
        attempt = "%s-%d" % (kind, count)
        # The last part belongs to the request itself.
        parts = [FIRST_PART, SUBJECT_PART, "%x:400" % (10**6 + 2 * count + (kind == "deadly"))]
        if kind == "deadly":
            parts.insert(1, DEADLY_PART)
        else:
            self.sound.append((time.monotonic(), attempt))
        return asyncio.create_task(self.one(attempt, parts, attempt.encode()))

    async def send_sound(self, begin, end):
        tasks, at = [], begin
        while at < end:
            await asyncio.sleep(at - time.monotonic())
            tasks.append(self.start("sound", len(tasks) + 1))
            at += BUSY_GAP_SECONDS if at < begin + QUIET_FROM_SECONDS else QUIET_GAP_SECONDS
        await asyncio.gather(*tasks)

    async def send_deadly(self, begin, end):
        tasks, at = [], begin
        while at < end:
            await asyncio.sleep(at - time.monotonic())
            tasks.append(self.start("deadly", len(tasks) + 1))
            at += FIRST_DEADLY_GAP_SECONDS if len(tasks) < FIRST_DEADLY else DEADLY_GAP_SECONDS
        await asyncio.gather(*tasks)

    async def run(self):
        try:
            engines = [fleet.Engine("i-%d" % number, "desk", "zone-a", SLOTS, self.lab.record)
                       for number in range(ENGINES)]
            for engine in engines:
                engine.behaviour = self.answer
            await self.lab.start(NODES, engines, [ROUTE], [TENANT])
            begin = time.monotonic()
            end = begin + DAY_SECONDS
            tasks = [self.send_sound(begin, end)]
            if TROUBLE:
                # The last sound request of the busy time has ended by then.
                tasks.append(self.send_deadly(begin + QUIET_FROM_SECONDS + 0.8, end))
            await asyncio.gather(*tasks)
        finally:
            self.lab.stop()
        calm = [attempt for at, attempt in self.sound if at < begin + QUIET_FROM_SECONDS]
        # The fifth crash, or the last one if there are fewer.
        crash = self.crashes[:5][-1] if self.crashes else begin + QUIET_FROM_SECONDS
        later = [attempt for at, attempt in self.sound if at > crash + 2 * fleet.CONTACT_MS / 1000]
        before, after = (sum(each in self.begun for each in group) / max(1, len(group))
                         for group in (calm, later))
        print("answers by status: %s; %d crashes, at %s s" % (
            dict(self.statuses), len(self.crashes),
            [round(each - begin, 1) for each in self.crashes]))
        print("sound requests that began: %.3f of %d in calm, %.3f of %d from 6 s after the fifth "
              "crash or the last one" % (before, len(calm), after, len(later)))
        return len(calm) < 20 or len(later) < 20 or after >= before / 2


fleet.run_case(lambda: Day().run())
