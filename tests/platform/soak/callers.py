"""Callers with persistent connections that record the outcome of each request."""

import asyncio
import json
import random
import time

import node as node_module
from engine import STREAM_EVENT_COUNT
from http_io import encode, read_chunks, read_head

PATHS = ("/once/x", "/again/x", "/stream/x")
REQUEST_TIMEOUT_SECONDS = 15
ADDRESS_CACHE_SECONDS = 2


class Outcome:
    def __init__(self, attempt_id, path, node, start_time):
        self.attempt_id = attempt_id
        self.path = path
        self.node = node
        self.start_time = start_time
        self.end_time = start_time
        self.status = None
        self.sealed = False
        # Name of the engine that stated its leaving in this response, and the time.
        self.leaving_engine = None
        self.leaving_time = None
        self.complete = False
        self.ended = False
        self.events = []
        self.timed_out = False

    def __repr__(self):
        return "%s %s at %s, %.3f s: status %s, sealed %s, whole %s, events %s" % (
            self.attempt_id, self.path, self.node.name, self.end_time - self.start_time,
            self.status, self.sealed, self.complete, self.events)


class Caller:
    """Sends requests one after another and records their outcomes."""

    def __init__(self, number, fleet, outcomes, seed):
        self.number = number
        self.fleet = fleet
        self.outcomes = outcomes
        self.random = random.Random("%s/%d" % (seed, number))
        self.sent_count = 0
        self.addresses = []
        self.addresses_read_at = 0
        self.connection = None
        self.node = None

    async def run(self, end):
        while time.monotonic() < end:
            await self.send_one()
            await asyncio.sleep(self.random.uniform(0, 0.4))
        self.disconnect()

    async def send_one(self, path=None):
        """Sends a request and returns its outcome, or None if no node could be reached."""
        if self.connection is None and not await self._connect():
            await asyncio.sleep(0.1)
            return None
        self.sent_count += 1
        outcome = Outcome("c%d-%d" % (self.number, self.sent_count),
                          path or self.random.choice(PATHS), self.node, time.monotonic())
        try:
            await asyncio.wait_for(self._exchange(outcome), REQUEST_TIMEOUT_SECONDS)
        except asyncio.TimeoutError:
            outcome.timed_out = True
            self.disconnect()
        except (OSError, EOFError):
            self.disconnect()
        outcome.end_time = time.monotonic()
        self.outcomes.append(outcome)
        return outcome

    def disconnect(self):
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None

    async def _connect(self):
        if time.monotonic() - self.addresses_read_at > ADDRESS_CACHE_SECONDS or not self.addresses:
            resolver = self.random.choice(self.fleet)
            body = await resolver.get(node_module.ADDRESS_PORT,
                                      "/api/resolve?Zone=" + resolver.domain)
            if body is not None:
                self.addresses = json.loads(body)["Addresses"]
                self.addresses_read_at = time.monotonic()
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
            "Host": "h", "Comfreypass-Attempt-Id": outcome.attempt_id, "Content-Length": 2}, b"{}"))
        start_line, headers = await read_head(reader)
        outcome.status = int(start_line.split()[1])
        outcome.sealed = "comfreypass-response-seal" in headers
        if outcome.sealed and "server-leaving" in headers:
            outcome.leaving_engine = headers["comfreypass-response-seal"].split("/")[0]
            outcome.leaving_time = time.monotonic()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            text = b""
            async for chunk in read_chunks(reader):
                text += chunk
                outcome.events = [int(line[4:]) for line in text.split(b"\n")[:-1]
                                  if line.startswith(b"id: ")]
            outcome.complete = (outcome.events[-1:] == [STREAM_EVENT_COUNT]
                                and text.endswith(b"\n\n"))
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
            outcome.complete = outcome.status != 200 or body == outcome.attempt_id.encode()
        outcome.ended = True
        if headers.get("connection", "").lower() == "close":
            self.disconnect()
