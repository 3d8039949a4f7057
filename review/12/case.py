"""Bodies in very small chunks take all channels of a node: it closes each new one unread."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import lab as deployment  # noqa: E402

ZONES = ["braga", "porto"]
# Clients that nobody controls, for each node: about as many as a node admits (60 in 100 of its descriptors).
CROWD_PROCESSES, CROWD_OF_PROCESS = 3, 830
PIECE_SECONDS = 0.3
SETTLE_SECONDS = 6
ORDINARY_CLIENTS = 12
OBSERVED_SECONDS = 12
CROWD_SECONDS = SETTLE_SECONDS + OBSERVED_SECONDS + 4
# The rule: a ready machine takes no new channel for ContactMs, while seven clients or more try.
TRYING_CLIENTS = 7
ANSWER_SECONDS = 2
HEAD = (r"POST /recolha/2f HTTP/1.1\r\nHost: ficu95.example\r\nAuthorization: Bearer key-of-crowd\r\n"
        r"Comfreypass-Attempt-Id: x-NUMBER\r\nTransfer-Encoding: chunked\r\n\r\n")
PIECE = r"1\r\nx\r\n"


async def be_ordinary_client(lab, number, end, tries):
    """Opens a new channel for each request, at both nodes by turns."""
    count = 0
    while time.monotonic() < end:
        node = lab.nodes[(number + count) % len(lab.nodes)]
        attempt = "c%d-%d" % (number, count)
        count += 1
        sent_at = time.monotonic()
        answer = await deployment.exchange((node.ip, deployment.FRONT), deployment.encode(
            "POST /recolha/2f HTTP/1.1",
            [("Host", deployment.HOST), ("Comfreypass-Attempt-Id", attempt),
             ("Comfreypass-Deadline-Ms", 1500), ("Authorization", "Bearer key-of-lab"),
             ("Content-Length", 2)], b"{}"), ANSWER_SECONDS)
        status = answer[0] if answer else None
        tries.append((node, number, sent_at, time.monotonic(), status))
        lab.record("client %d sends %s to %s on a new channel: %s", number, attempt, node.name,
                   "status %d" % status if status else "closed without an answer")
        await asyncio.sleep(0.3)


async def watch_readiness(lab, end, ready):
    while time.monotonic() < end:
        for node in lab.nodes:
            ready.append((node, time.monotonic(), await node.is_ready()))
        await asyncio.sleep(0.5)


def unanswered_span(node, tries, ready):
    """Returns the longest span in which the node said it was ready, enough clients tried, and each
    of their new channels ended without an answer, as (seconds, clients)."""
    best = (0.0, 0)
    begin, clients = None, set()
    for sent, ended, number, status in sorted(
            (sent, ended, number, status or 0) for which, number, sent, ended, status in tries
            if which is node):
        if status:
            begin, clients = None, set()
            continue
        begin = sent if begin is None else begin
        clients.add(number)
        said = [was_ready for which, at, was_ready in ready
                if which is node and begin <= at <= ended]
        if len(clients) >= TRYING_CLIENTS and said and all(said):
            best = max(best, (ended - begin, len(clients)))
    return best


async def scenario(lab):
    await lab.start(ZONES)
    if deployment.TROUBLE:
        for node in lab.nodes:
            for _ in range(CROWD_PROCESSES):
                lab.start_process([sys.executable, "-B", os.path.join(
                    deployment.ROOT, "review", "standin-3", "crowd.py"), node.ip,
                    str(deployment.FRONT), str(CROWD_OF_PROCESS), str(CROWD_SECONDS), HEAD, PIECE,
                    str(PIECE_SECONDS)], stdout=deployment.subprocess.DEVNULL)
        lab.record("%d clients of each node send a body in chunks of one byte",
                   CROWD_PROCESSES * CROWD_OF_PROCESS)
        await asyncio.sleep(SETTLE_SECONDS)
    end = time.monotonic() + OBSERVED_SECONDS
    tries, ready = [], []
    await asyncio.gather(watch_readiness(lab, end, ready),
                         *(be_ordinary_client(lab, number, end, tries)
                           for number in range(ORDINARY_CLIENTS)))
    statuses = [status for _, _, _, _, status in tries]
    lab.record.say("ordinary requests: %d, %d served, %d refused, %d channels closed without an answer; "
                   "largest memory of a node %.0f MB", len(statuses), statuses.count(200),
                   len(statuses) - statuses.count(200) - statuses.count(None),
                   statuses.count(None), max(node.peak_megabytes() for node in lab.nodes))
    spans = {node.name: unanswered_span(node, tries, ready) for node in lab.nodes}
    for name, (seconds, clients) in spans.items():
        lab.record.say("%s: ready, and no new channel of %d clients was answered for %.1f s", name,
                       clients, seconds)
    if any(node.process.poll() is not None for node in lab.nodes):
        return "a node ended"
    silent = [name for name, (seconds, _) in spans.items() if seconds >= deployment.CONTACT_SECONDS]
    if silent:
        return "%s took no new channel for %.0f s or more" % (", ".join(silent),
                                                             deployment.CONTACT_SECONDS)
    return None


deployment.run_case(FOLDER, scenario)
