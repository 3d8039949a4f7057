"""A part of a prompt that crashes engines, in a quiet hour: is it kept from engines after the fifth?"""

import asyncio
import itertools
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import engines
import fleet
from fleet import TROUBLE, now

NODES, ENGINES = 8, 9
CONTACT_SECONDS = 3.0
ALLOWED_LATE = 3
SECONDS = 50
DEADLY_EVERY, SOUND_EVERY = 2.0, 4.0
SOUND_EVENTS, EVENT_SECONDS = 49, 0.06
DEADLY = "dead01"
ZONES = ("sanjose-a", "heredia-b", "cartago-c", "alajuela-d")


async def scenario(case):
    draw = random.Random(1)
    await case.start_store()
    arrivals = []

    async def answer(engine, start_line, headers, body, writer):
        attempt = headers["comfreypass-attempt-id"]
        parts = headers.get("comfreypass-prompt-prefix", "")
        deadly = any(each.split(":")[0] == DEADLY for each in parts.split(","))
        case.record.line("engine %s runs %s%s" % (engine.id, attempt,
                                                  " with the deadly part" if deadly else ""))
        if deadly:
            arrivals.append((now(), attempt))
            await asyncio.sleep(0.03)
            if TROUBLE:
                writer.write(engines.stream_head(engine, headers))
                await writer.drain()
                raise engines.Engine.Crash("begins to write an answer on %s" % attempt)
        await engines.answer_stream(engine, headers, writer, SOUND_EVENTS, EVENT_SECONDS)

    await case.store.put("op/config", fleet.configuration(
        7,
        [fleet.route("site-survey-draft", "/survey/", "streaming", "asesor-modelo",
                     TimeoutMs=15000, AimMs=500, GapTargetMs=300, Priority=0, MaxAttempts=2,
                     Resumable=True, Sticky=True),
         fleet.route("permit-wording-check", "/permit/", "streaming", "asesor-modelo",
                     TimeoutMs=12000, AimMs=300, GapTargetMs=300, Priority=1, MaxAttempts=1,
                     Sticky=True)],
        [{"Name": "asesor-modelo", "MaxConns": 620, "ColdS": 3, "ColdPerS": 24}],
        [{"Name": "tenant-a", "ApiKeys": ["key-a"], "Priority": 1}]))
    models = [engines.Engine(case, "m%d" % number, "asesor-modelo", ZONES[number % len(ZONES)], 18,
                             answer) for number in range(ENGINES)]
    for each in models:
        await each.start()
    nodes = case.add_nodes(NODES, ZONES)
    for each in nodes:
        each.start()
    await case.wait_ready(nodes)
    await asyncio.sleep(2)

    numbers = itertools.count(1)
    cut = []

    async def request(path, parts):
        """Sends one request on a new channel, as callers do at times, and reads its answer."""
        number = next(numbers)
        attempt = "a%05d" % number
        node = draw.choice(nodes)
        case.record.line("%s sent to %s: POST %s, parts %s" % (attempt, node.name, path, parts))
        text = b""
        status = "no answer"
        try:
            reader, writer = await asyncio.open_connection(node.address, node.PORTS["callers"])
            try:
                writer.write(fleet.head(
                    "POST %s HTTP/1.1" % path,
                    [("Host", "caller.example"), ("Authorization", "Bearer key-a"),
                     ("Comfreypass-Attempt-Id", attempt), ("Comfreypass-Model", "m"),
                     ("Comfreypass-Token-Counts", "900,300"),
                     ("Comfreypass-Prompt-Prefix", parts),
                     ("Comfreypass-Deadline-Ms", "12000")], b"prompt %d" % number))
                start_line, headers = await asyncio.wait_for(fleet.read_head(reader), 13)
                status = start_line.split()[1]
                text = await asyncio.wait_for(fleet.read_body(reader, headers), 13)
                end = "whole"
            finally:
                writer.close()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            end = "cut"
        except asyncio.TimeoutError:
            end = "timed out"
        case.record.line("%s answered: %s, %s" % (attempt, status, end))
        if status == "200" and end != "whole":
            cut.append(attempt)

    async def repeat(every, path, parts):
        tasks = []
        stop = now() + SECONDS
        while now() < stop:
            tasks.append(asyncio.create_task(request(path, parts())))
            await asyncio.sleep(every)
        await asyncio.gather(*tasks)

    own = itertools.count(1)
    await asyncio.gather(
        repeat(DEADLY_EVERY, "/survey/x",
               lambda: "c0ffee:60,%s:400,%x:440" % (DEADLY, 0xa0000 + next(own))),
        repeat(SOUND_EVERY, "/permit/x",
               lambda: "c0ffee:60,beef02:400,%x:440" % (0xb0000 + next(own))))

    crashes = sorted(at for each in models for at in each.crashes)
    case.record.line("engines crashed %d times; %d sound streams were cut" % (len(crashes), len(cut)))
    if any(not each.alive() for each in nodes):
        raise fleet.CannotRun("a gateway process has ended")
    if len(crashes) < 5:
        return []
    limit = crashes[4] + CONTACT_SECONDS
    late = [(at, attempt) for at, attempt in arrivals if at > limit]
    case.record.line("fifth crash at %.3f; arrivals with the deadly part after %.3f: %d, allowed %d"
                     % (crashes[4], limit, len(late), ALLOWED_LATE))
    if len(late) <= ALLOWED_LATE:
        return []
    return ["%d requests with the deadly part reached engines later than ContactMs after the fifth "
            "crash; %d engines were crashed in all, %d sound streams cut"
            % (len(late), len(crashes), len(cut))]


fleet.run(__file__, scenario)
