"""Sound requests in a quiet hour beside a few requests with a part that crashes engines.

The scenario of several cases, which differ in the requests that they send. It checks the rule on the share of
sound requests that still begin.
"""

import asyncio
import random
import time

import deadly
import lab as deployment
import model_engine

CALM_SECONDS, CALM_INTERVAL = 12, 0.4
QUIET_INTERVAL = 4.0
# Requests with the part follow a sound one after this time, and all of them come before the next sound one.
DEADLY_AFTER = 0.4
OBSERVED_SECONDS, OBSERVED_INTERVAL = 18, 0.4
STILL_COMES_INTERVAL = 2.0
CRASHES_FIRST = 5
MIN_REQUESTS = 20


async def scenario(lab, sound_prompt, deadly_prompts, late_deadly_prompt):
    """`deadly_prompts` are (seconds after the first, prompt); prompts get the number of the request."""
    draw = random.Random(1)
    engines, tasks = [], []
    sent = {"calm": [], "quiet": [], "observed": [], "deadly": []}

    async def start_engines():
        for number in range(deadly.ENGINES):
            engine = model_engine.ModelEngine(
                number, deadly.ZONES[number % len(deadly.ZONES)], "assistente", lab.store, lab.record,
                deadly.DEADLY_PART if deployment.TROUBLE else None)
            await engine.start()
            engines.append(engine)
    await lab.start(deadly.ZONES, start_engines, deadly.configuration())

    def send(kind, prompt):
        attempt = "%s-%d" % (kind, len(sent[kind]) + 1)
        sent[kind].append((time.monotonic(), attempt))
        tasks.append(asyncio.ensure_future(
            deadly.send(lab, draw.choice(lab.nodes), attempt, prompt)))

    async def send_sound(kind, count, interval):
        for _ in range(count):
            send(kind, sound_prompt(sum(map(len, sent.values())) + 1))
            await asyncio.sleep(interval)

    async def send_first_deadly():
        await asyncio.sleep(DEADLY_AFTER)
        started = time.monotonic()
        for at, prompt in deadly_prompts:
            await asyncio.sleep(max(0, started + at - time.monotonic()))
            send("deadly", prompt(len(sent["deadly"]) + 1))

    async def send_late_deadly(end):
        while time.monotonic() < end:
            send("deadly", late_deadly_prompt(len(sent["deadly"]) + 1))
            await asyncio.sleep(STILL_COMES_INTERVAL)
    await send_sound("calm", int(CALM_SECONDS / CALM_INTERVAL), CALM_INTERVAL)
    await send_sound("quiet", 1, QUIET_INTERVAL)
    await asyncio.gather(send_sound("quiet", 1, QUIET_INTERVAL), send_first_deadly())
    await asyncio.gather(
        send_sound("observed", int(OBSERVED_SECONDS / OBSERVED_INTERVAL), OBSERVED_INTERVAL),
        send_late_deadly(time.monotonic() + OBSERVED_SECONDS))
    await asyncio.gather(*tasks)
    begun = {attempt for engine in engines for attempt, _ in engine.arrivals}
    crashes = sorted(at for engine in engines for at in engine.crashes)
    if any(node.process.poll() is not None for node in lab.nodes):
        return "a node ended"
    judged_from = 0.0
    if crashes:
        judged_from = (crashes[:CRASHES_FIRST][-1]) + 2 * deployment.CONTACT_SECONDS
    judged = [attempt for at, attempt in sent["observed"] if at >= judged_from]
    calm = [attempt for _, attempt in sent["calm"]]
    lab.record.say("%d crashes; of %d sound requests in calm %d begin at an engine, of %d later than "
                   "2 x ContactMs after the fifth or last crash %d", len(crashes), len(calm),
                   len(begun.intersection(calm)), len(judged), len(begun.intersection(judged)))
    if len(calm) < MIN_REQUESTS or len(judged) < MIN_REQUESTS:
        raise deployment.CannotRun("too few requests to judge")
    before = len(begun.intersection(calm)) / len(calm)
    after = len(begun.intersection(judged)) / len(judged)
    if crashes and after < before / 2:
        return "%.0f in 100 sound requests begin, %.0f in 100 did in calm" % (100 * after, 100 * before)
    return None
