"""Stand-in for an engine: plain responses and resumable event streams; records each run.

On demand, its responses have neither a length nor chunks and end with their connection.
"""

import asyncio
import collections
import random
import time

from http_io import encode, read_message
from proxy import abort_connection

SLOTS = 6
STREAM_EVENT_COUNT = 8
EVENT_INTERVAL_SECONDS = 0.03
PLAIN_RESPONSE_SECONDS = 0.015
# Share of the responses without framing that end in each way: a cut is an orderly close inside an
# event, or before the body of a plain response, and a reset happens at any byte.
WHOLE, CUT = 0.7, 0.15


class Engine:
    """Records in `runs`, for each attempt id, the engines that ran it and the start times."""

    def __init__(self, name, runs, seed):
        self.name = name
        self.runs = runs
        self.random = random.Random("%s/%s" % (seed, name))
        self.failing = False
        self.leaving = False
        # Forwards the connections of the nodes, if there is one.
        self.proxy = None
        # The engine rejects all requests until then and asks for a pause of the rest of the time.
        self.paused_until = 0
        # Attempt id and time of each rejection with a pause, and the end of the pause.
        self.pauses = []
        # Attempt id and time of each request that reached the engine, whether it ran or not.
        self.arrivals = []
        self.faulty = False
        # Responses end with their connection; counts how they ended.
        self.unframed = False
        self.breaks_off = True
        self.unframed_ends = collections.Counter()
        self.running = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            earlier_id = None
            while True:
                request = await read_message(reader)
                await self._handle(request, writer, earlier_id)
                earlier_id = request.headers["comfreypass-attempt-id"]
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, request, writer, earlier_id):
        attempt_id = request.headers["comfreypass-attempt-id"]
        self.arrivals.append((attempt_id, time.monotonic()))
        headers = {"Comfreypass-Attempt-Id": attempt_id}
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if request.headers["comfreypass-expect-instance"] != self.name:
            await self._respond(writer, "421 Misdirected Request", headers, b"")
            return
        now = time.monotonic()
        if now < self.paused_until:
            rest = self.paused_until - now
            headers["Comfreypass-Not-Executed"] = "paused"
            headers["Retry-After"] = "%.3f" % rest
            await self._respond(writer, "503 Service Unavailable", headers, b"")
            # A disturbed connection may lose the response.
            if self.proxy is None or self.proxy.mode == "pass":
                self.pauses.append((attempt_id, time.monotonic(), self.paused_until))
            return
        if self.running >= 2 * SLOTS:
            headers["Comfreypass-Not-Executed"] = "full"
            await self._respond(writer, "503 Service Unavailable", headers, b"")
            return
        self.runs[attempt_id].append((self.name, time.monotonic()))
        headers["Comfreypass-Response-Seal"] = self.name + "/" + attempt_id
        self.running += 1
        try:
            if self.faulty:
                await self._misbehave(request, writer, headers, earlier_id)
            if self.failing:
                await self._respond(writer, "500 Internal Server Error", headers, b"failed")
            elif self.unframed and self.random.random() < 0.5:
                await self._respond_unframed(request, writer, headers)
            elif request.start_line.split()[1].startswith("/stream"):
                await self._stream(request, writer, headers)
            else:
                await asyncio.sleep(PLAIN_RESPONSE_SECONDS)
                await self._respond(writer, "200 OK", headers, attempt_id.encode())
        finally:
            self.running -= 1

    async def _misbehave(self, request, writer, headers, earlier_id):
        """Repeats a refusal of an earlier request, stops within a head, or fails a resumption."""
        choice = self.random.random()
        if choice < 0.4 and earlier_id is not None:
            refusal = {"Comfreypass-Not-Executed": "full"}
            if choice < 0.2:
                refusal["Comfreypass-Attempt-Id"] = earlier_id
            await self._respond(writer, "503 Service Unavailable", refusal, b"full")
        elif choice < 0.6:
            head = encode("HTTP/1.1 200 OK", {**headers, "Content-Length": 0})
            writer.write(head[:self.random.randrange(1, len(head))])
            await writer.drain()
            raise ConnectionResetError
        elif "last-event-id" in request.headers:
            await self._respond(writer, "500 Internal Server Error", headers, b"id: 1\n\n")
            raise ConnectionResetError

    async def _respond_unframed(self, request, writer, headers):
        if self.random.random() < 0.5:
            headers["Connection"] = self.random.choice(("close", "keep-alive"))
        version = self.random.choice(("HTTP/1.0", "HTTP/1.1"))
        draw = self.random.random()
        end = "whole" if draw < WHOLE or not self.breaks_off else "cut" if draw < WHOLE + CUT else "reset"
        first_event = int(request.headers.get("last-event-id", "0")) + 1
        is_stream = request.start_line.split()[1].startswith("/stream")
        if is_stream:
            headers["Content-Type"] = "text/event-stream"
            pieces = [b"id: %d\ndata: token\n\n" % number
                      for number in range(first_event, STREAM_EVENT_COUNT + 1)]
        else:
            pieces = [request.headers["comfreypass-attempt-id"].encode()]
        head = encode(version + " 200 OK", headers)
        if end == "cut" and not is_stream:
            pieces = []
        elif end == "cut" and pieces:
            pieces = pieces[:self.random.randint(1, len(pieces))]
            pieces[-1] = pieces[-1][:self.random.randrange(1, len(pieces[-1]))]
        elif end == "reset":
            sent = (head + b"".join(pieces))[:self.random.randrange(
                1, len(head) + sum(map(len, pieces)) + 1)]
            head, pieces = sent[:len(head)], [sent[len(head):]]
        writer.write(head)
        for piece in pieces:
            await asyncio.sleep(EVENT_INTERVAL_SECONDS if is_stream else PLAIN_RESPONSE_SECONDS)
            writer.write(piece)
            await writer.drain()
        self.unframed_ends[end] += 1
        if end == "reset":
            abort_connection(writer)
        # Ends the connection.
        raise ConnectionResetError

    @staticmethod
    async def _respond(writer, status, headers, body):
        writer.write(encode("HTTP/1.1 " + status, {**headers, "Content-Length": len(body)}, body))
        await writer.drain()

    @staticmethod
    async def _stream(request, writer, headers):
        first_event = int(request.headers.get("last-event-id", "0")) + 1
        headers.update({"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
        writer.write(encode("HTTP/1.1 200 OK", headers))
        for number in range(first_event, STREAM_EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_SECONDS)
            event = b"id: %d\ndata: token\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def new_run_log():
    return collections.defaultdict(list)
