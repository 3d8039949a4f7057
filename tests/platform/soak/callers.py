"""Callers that keep their connections open, and what became of each of their requests."""

import asyncio
import json
import random
import time

import node as nodes
from engine import STREAM_EVENTS
from http_io import encode, read_chunks, read_head

PATHS = ("/once/x", "/again/x", "/stream/x")
PATIENCE_SECONDS = 15
ADDRESS_SECONDS = 2


class Outcome:
    def __init__(self, attempt, path, node, start):
        self.attempt = attempt
        self.path = path
        self.node = node
        self.start = start
        self.end = start
        self.status = None
        self.sealed = False
        self.whole = False
        self.events = []
        self.waited_to_the_end = False

    def __repr__(self):
        return "%s %s at %s, %.3f s: status %s, sealed %s, whole %s, events %s" % (
            self.attempt, self.path, self.node.name, self.end - self.start, self.status,
            self.sealed, self.whole, self.events)


class Caller:
    """Sends one request after another and writes down the outcomes."""

    def __init__(self, number, fleet, outcomes, seed):
        self.number = number
        self.fleet = fleet
        self.outcomes = outcomes
        self.random = random.Random("%s/%d" % (seed, number))
        self.sent = 0
        self.addresses = []
        self.addresses_at = 0
        self.connection = None
        self.node = None

    async def run(self, until):
        while time.monotonic() < until:
            await self.send_one()
            await asyncio.sleep(self.random.uniform(0, 0.4))
        self.hang_up()

    async def send_one(self, path=None):
        """Returns the outcome; None if no node could be reached, so that nothing was sent."""
        if self.connection is None and not await self._connect():
            await asyncio.sleep(0.1)
            return None
        self.sent += 1
        outcome = Outcome("c%d-%d" % (self.number, self.sent), path or self.random.choice(PATHS),
                          self.node, time.monotonic())
        try:
            await asyncio.wait_for(self._exchange(outcome), PATIENCE_SECONDS)
        except asyncio.TimeoutError:
            outcome.waited_to_the_end = True
            self.hang_up()
        except (OSError, EOFError):
            self.hang_up()
        outcome.end = time.monotonic()
        self.outcomes.append(outcome)
        return outcome

    def hang_up(self):
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None

    async def _connect(self):
        if time.monotonic() - self.addresses_at > ADDRESS_SECONDS or not self.addresses:
            asked = self.random.choice(self.fleet)
            page = await asked.get(nodes.ADDRESSES, "/api/resolve?Zone=" + asked.domain)
            if page is not None:
                self.addresses = json.loads(page)["Addresses"]
                self.addresses_at = time.monotonic()
        if not self.addresses:
            return False
        host, port = self.random.choice(self.addresses).split(":")
        try:
            self.connection = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            self.addresses = []
            return False
        self.node = next(each for each in self.fleet if each.address == host)
        return True

    async def _exchange(self, outcome):
        reader, writer = self.connection
        writer.write(encode("POST %s HTTP/1.1" % outcome.path, {
            "Host": "h", "Comfreypass-Attempt-Id": outcome.attempt, "Content-Length": 2}, b"{}"))
        start, headers = await read_head(reader)
        outcome.status = int(start.split()[1])
        outcome.sealed = "comfreypass-response-seal" in headers
        if headers.get("transfer-encoding", "").lower() == "chunked":
            text = b""
            async for chunk in read_chunks(reader):
                text += chunk
                outcome.events = [int(line[4:]) for line in text.split(b"\n")
                                  if line.startswith(b"id: ")]
            outcome.whole = outcome.events[-1:] == [STREAM_EVENTS]
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            outcome.whole = outcome.status != 200 or body == outcome.attempt.encode()
        if headers.get("connection", "").lower() == "close":
            self.hang_up()
