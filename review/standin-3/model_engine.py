"""A model engine: reads a prompt, then writes a stream of events; stops at the time limit with 504.

If a request holds the part that is given as deadly, the engine's process crashes when it begins to write: its
port is closed, all its channels are reset, and it comes back after some seconds with a new id.
"""

import asyncio
import time

from lab import encode, read_body, read_head

EVENTS, EVENT_SECONDS = 6, 0.03
READ_SECONDS = 0.04
BACK_SECONDS = 2.0
# An entry lapses after three heartbeat intervals of silence.
LAPSE_SECONDS = 3.6


class ModelEngine:
    def __init__(self, number, zone, service, store, record, deadly=None):
        self.number, self.zone, self.service = number, zone, service
        self.store, self.record, self.deadly = store, record, deadly
        self.boot = 0
        self.is_down = False
        self.writers = set()
        self.running = {}
        # Attempt id and time of each request that reached the engine, crash times, and ids that a crash cut.
        self.arrivals, self.crashes, self.cut = [], [], []
        self.answered_504 = []

    async def start(self, port=0):
        self.boot += 1
        self.is_down = False
        self.name = "i-%d-%d" % (self.number, self.boot)
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        await self.store.put("servers/" + self.name, {
            "Service": self.service, "Address": "127.0.0.1:%d" % self.port, "Zone": self.zone,
            "Version": "v1", "Slots": 17, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
            "born": int(time.time() * 1000)})

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start_line, fields = await read_head(reader)
                await read_body(reader, fields)
                # A request whose channel closes is dropped.
                work = asyncio.ensure_future(self._run(fields, writer))
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done() or not gone.cancel():
                    work.cancel()
                    break
                await asyncio.gather(gone, return_exceptions=True)
                work.result()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, fields, writer):
        attempt = fields["comfreypass-attempt-id"]
        answer = [("Comfreypass-Attempt-Id", attempt)]
        if fields.get("comfreypass-expect-instance") != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", answer + [("Content-Length", 0)]))
            return await writer.drain()
        boot = self.boot
        self.arrivals.append((attempt, time.monotonic()))
        self.record("%s gets %s", self.name, attempt)
        answer.append(("Comfreypass-Response-Seal", "s." + attempt))
        limit = int(fields["comfreypass-deadline-ms"]) / 1e3
        parts = [part.split(":")[0] for part in fields["comfreypass-prompt-prefix"].split(",")]
        # The last part of a prompt is read in this time; its tokens stand for milliseconds here.
        reading = READ_SECONDS + int(fields["comfreypass-prompt-prefix"].rsplit(":", 1)[1]) / 157e3
        self.running[attempt] = True
        try:
            if reading >= limit:
                await asyncio.sleep(limit)
                self.answered_504.append(attempt)
                self.record("%s stops %s at its time limit with 504", self.name, attempt)
                writer.write(encode("HTTP/1.1 504 Gateway Timeout", answer + [("Content-Length", 0)]))
                return await writer.drain()
            await asyncio.sleep(reading)
            if self.deadly in parts[:-1]:
                return self._crash(attempt)
            writer.write(encode("HTTP/1.1 200 OK", answer + [
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
            for number in range(1, EVENTS + 1):
                event = b"id: %d\ndata: some words\n\n" % number
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_SECONDS)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            if self.boot == boot:
                self.running.pop(attempt, None)

    def _crash(self, cause):
        if self.is_down:
            # Another request has crashed this boot at the same moment.
            return
        self.is_down = True
        self.crashes.append(time.monotonic())
        others = [attempt for attempt in self.running if attempt != cause]
        self.cut += others
        self.record("%s crashes on %s; %d other requests are cut", self.name, cause, len(others))
        self.running.clear()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        asyncio.ensure_future(self._come_back(self.name))

    async def _come_back(self, old_name):
        await asyncio.sleep(BACK_SECONDS)
        await self.start(self.port)
        self.record("the engine is back as %s", self.name)
        await asyncio.sleep(LAPSE_SECONDS - BACK_SECONDS)
        await self.store.remove("servers/" + old_name)
