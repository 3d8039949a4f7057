"""Unfinished requests at the directory keep all other clients from being told where to connect."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-3"))
import lab as deployment  # noqa: E402

ZONES = ["braga", "braga", "porto", "porto", "guimaraes", "viana"]
# Clients that nobody controls, for each node: fewer than ordinary clients of a busy hour.
CROWD = 260
CROWD_SECONDS = 22
ORDINARY_CLIENTS = 12
OBSERVED_SECONDS = 12
# The rule: a ready machine takes no new channel for ContactMs, while seven clients or more try.
TRYING_CLIENTS = 7
HEAD = (r"POST /api/resolve HTTP/1.1\r\nHost: ficu95.example\r\nContent-Type: application/json\r\n"
        r"Transfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n8\r\n")


async def ask_directories(lab, number, tries):
    """Asks three directories, nearest first, as a client does; returns the addresses or None."""
    zone = ZONES[number % len(ZONES)]
    nearest = sorted(lab.nodes, key=lambda node: node.zone != zone)
    for node in nearest[:deployment.DIRECTORIES]:
        sent_at = time.monotonic()
        answer = await deployment.exchange(
            (node.ip, deployment.DIRECTORY),
            deployment.encode("GET /api/resolve?Name=%s&Region=norte&Zone=%s HTTP/1.1"
                              % (deployment.HOST, zone), [("Host", deployment.HOST)]),
            deployment.DIRECTORY_SECONDS)
        served = answer is not None and answer[0] == 200
        tries.append((node, number, sent_at, time.monotonic(), served))
        lab.record("client %d asks the directory of %s: %s", number, node.name,
                   answer[2].decode() if served else "no answer within %.0f s" % deployment.DIRECTORY_SECONDS)
        if served:
            return answer[2]
    return None


async def be_ordinary_client(lab, number, end, tries, answers):
    while time.monotonic() < end:
        addresses = await ask_directories(lab, number, tries)
        if addresses is None:
            answers.append(None)
            lab.record("client %d knows no address and sends nothing", number)
            continue
        ip, port = deployment.json.loads(addresses)["Addresses"][0].split(":")
        attempt = "c%d-%d" % (number, len(answers))
        answer = await deployment.exchange((ip, int(port)), deployment.encode(
            "POST /recolha/2f HTTP/1.1",
            [("Host", deployment.HOST), ("Comfreypass-Attempt-Id", attempt),
             ("Comfreypass-Deadline-Ms", 1500), ("Authorization", "Bearer key-of-lab"),
             ("Content-Length", 2)], b"{}"), 2)
        answers.append(answer[0] if answer else None)
        lab.record("client %d sends %s to %s: status %s", number, attempt, ip, answers[-1])
        await asyncio.sleep(0.5)


async def watch_readiness(lab, end, ready):
    while time.monotonic() < end:
        for node in lab.nodes:
            ready.append((node, time.monotonic(), await node.is_ready()))
        await asyncio.sleep(0.5)


def unanswered_span(node, tries, ready):
    """Returns the longest span without an answer of this node's directory in which it said it was
    ready and enough clients tried, as (seconds, clients)."""
    own = sorted(each for each in ((sent, ended, number, served)
                                   for which, number, sent, ended, served in tries
                                   if which is node))
    best = (0.0, 0)
    begin, clients, last = None, set(), 0.0
    for sent, ended, number, served in own:
        if served:
            begin, clients = None, set()
            continue
        begin = sent if begin is None else begin
        clients.add(number)
        last = max(last, ended)
        said = [was_ready for which, at, was_ready in ready if which is node and begin <= at <= last]
        if len(clients) >= TRYING_CLIENTS and said and all(said):
            best = max(best, (last - begin, len(clients)))
    return best


async def scenario(lab):
    await lab.start(ZONES)
    if deployment.TROUBLE:
        for node in lab.nodes:
            lab.start_process([sys.executable, "-B", os.path.join(deployment.ROOT, "review",
                               "standin-3", "crowd.py"), node.ip, str(deployment.DIRECTORY),
                               str(CROWD), str(CROWD_SECONDS), HEAD, "", "0"],
                              stdout=deployment.subprocess.DEVNULL)
        lab.record("%d clients at each directory begin a chunked body, stop short and stay open",
                   CROWD)
        await asyncio.sleep(3)
    end = time.monotonic() + OBSERVED_SECONDS
    tries, answers, ready = [], [], []
    await asyncio.gather(watch_readiness(lab, end, ready),
                         *(be_ordinary_client(lab, number, end, tries, answers)
                           for number in range(ORDINARY_CLIENTS)))
    lab.record.say("ordinary clients: %d attempts, %d served; largest memory of a node %.0f MB",
                   len(answers), answers.count(200),
                   max(node.peak_megabytes() for node in lab.nodes))
    spans = {node.name: unanswered_span(node, tries, ready) for node in lab.nodes}
    for name, (seconds, clients) in spans.items():
        lab.record.say("%s: ready, and no answer of its directory for %.1f s to %d clients", name,
                       seconds, clients)
    if any(node.process.poll() is not None for node in lab.nodes):
        return "a node ended"
    silent = [name for name, (seconds, _) in spans.items() if seconds >= deployment.CONTACT_SECONDS]
    if silent:
        return "%s took no new channel for %.0f s or more" % (", ".join(silent),
                                                             deployment.CONTACT_SECONDS)
    return None


deployment.run_case(FOLDER, scenario)
