"""A part of a prompt crashes each engine that begins to write an answer on it, beside sound requests.

The scenario of several cases, which differ in the requests that they send. It checks the rule on the number
of requests with such a part that may still reach engines.
"""

import asyncio
import random
import time

import lab as deployment
import model_engine

ZONES = ["braga", "porto", "guimaraes"]
ENGINES = 12
SECONDS = 45
SOUND_INTERVAL, DEADLY_INTERVAL = 0.1, 0.7
DEADLY_STARTS_AFTER = 3
DEADLY_PART = "bad0bad0"
WAIT_MS = 12_000
CRASHES_FIRST, ALLOWED_REQUESTS = 5, 3


class Prompt:
    """Parts as (id, tokens), the last of which is the request's own, and how long its client waits."""

    def __init__(self, parts, wait_ms=WAIT_MS):
        self.parts, self.wait_ms = parts, wait_ms

    def fields(self):
        return [("Comfreypass-Model", "m"),
                ("Comfreypass-Token-Counts", "%d,36" % sum(tokens for _, tokens in self.parts)),
                ("Comfreypass-Prompt-Prefix", ",".join("%s:%d" % part for part in self.parts)),
                ("Comfreypass-Deadline-Ms", self.wait_ms)]


def configuration():
    document = deployment.configuration()
    document["Routes"].append({
        "Name": "resumo", "Host": deployment.HOST, "PathPrefix": "/resumo/", "Kind": "streaming",
        "TimeoutMs": 12000, "AimMs": 300, "Priority": 1, "Service": "assistente", "MaxAttempts": 1,
        "Public": False, "Sticky": True, "Resumable": False, "GapTargetMs": 300})
    document["Services"].append({
        "Name": "assistente", "HealthPath": "/health", "MaxConns": 480, "Protocol": "h1",
        "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0, "Engine": {"Slots": 17, "Stride": 6}})
    return document


async def send(lab, node, attempt, prompt):
    body = ("the prompt of " + attempt).encode()
    answer = await deployment.exchange((node.ip, deployment.FRONT), deployment.encode(
        "POST /resumo/2f HTTP/1.1",
        [("Host", deployment.HOST), ("Comfreypass-Attempt-Id", attempt),
         ("Authorization", "Bearer key-of-lab"), ("Content-Length", len(body))]
        + prompt.fields(), body), prompt.wait_ms / 1e3 + 1)
    status = answer[0] if answer else None
    lab.record("%s to %s, %d parts, waits %d ms: %s", attempt, node.name, len(prompt.parts),
               prompt.wait_ms, "status %d" % status if status else "cut")
    return status


async def scenario(lab, sound_prompt, deadly_prompt, at_once=1, interval=DEADLY_INTERVAL):
    """`sound_prompt` and `deadly_prompt` return the prompt of the request with a number; so many of the
    deadly ones come at once in each interval, in seconds."""
    draw = random.Random(1)
    engines = []

    async def start_engines():
        for number in range(ENGINES):
            engine = model_engine.ModelEngine(
                number, ZONES[number % len(ZONES)], "assistente", lab.store, lab.record,
                DEADLY_PART if deployment.TROUBLE else None)
            await engine.start()
            engines.append(engine)
    await lab.start(ZONES, start_engines, configuration())
    started = time.monotonic()
    tasks = []
    statuses = {"sound": [], "deadly": []}

    async def send_all(kind, prompt, at_once, interval):
        async def keep(number):
            statuses[kind].append(await send(lab, draw.choice(lab.nodes),
                                             "%s-%d" % (kind, number), prompt(number)))
        number = 0
        while time.monotonic() - started < SECONDS:
            for _ in range(at_once):
                number += 1
                tasks.append(asyncio.ensure_future(keep(number)))
            await asyncio.sleep(interval)

    async def send_deadly():
        await asyncio.sleep(DEADLY_STARTS_AFTER)
        await send_all("deadly", deadly_prompt, at_once, interval)
    await asyncio.gather(send_all("sound", sound_prompt, 1, SOUND_INTERVAL), send_deadly())
    await asyncio.gather(*tasks)
    crashes = sorted(at for engine in engines for at in engine.crashes)
    arrivals = [at for engine in engines for attempt, at in engine.arrivals
                if attempt.startswith("deadly-")]
    cut = [attempt for engine in engines for attempt in engine.cut if attempt.startswith("sound-")]
    lab.record.say("%d sound requests, %d answered 200, %d cut at engines by crashes; %d requests with the part, "
                   "%d reached engines, %d got 504 there at their time limit, %d crashes",
                   len(statuses["sound"]), statuses["sound"].count(200), len(cut),
                   len(statuses["deadly"]), len(arrivals),
                   sum(len(engine.answered_504) for engine in engines), len(crashes))
    if any(node.process.poll() is not None for node in lab.nodes):
        return "a node ended"
    if len(crashes) < CRASHES_FIRST:
        return None
    allowed_until = crashes[CRASHES_FIRST - 1] + deployment.CONTACT_SECONDS
    late = sum(at > allowed_until for at in arrivals)
    lab.record.say("%d requests with the part reached engines later than ContactMs after the fifth crash",
                   late)
    if late > ALLOWED_REQUESTS:
        return "%d requests with the part reached engines, allowed are %d" % (late, ALLOWED_REQUESTS)
    return None
