"""Stand-ins for engines. They keep to the users' pages: one request at a time on a channel, a new boot
with a new id at each start, an entry in the store that lapses after three heartbeat intervals."""

import asyncio
import socket
import struct

from fleet import head, now, read_body, read_head

HEARTBEAT_SECONDS = 1.2
LAPSE_SECONDS = 3 * HEARTBEAT_SECONDS


def reset(writer):
    """Closes a channel with a reset, as the kernel does for a process that has died."""
    connection = writer.get_extra_info("socket")
    if connection is not None and not writer.is_closing():
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class Engine:
    """Answers with `answer(engine, request, writer)`, which may raise Crash."""

    class Crash(Exception):
        """The process of the engine dies."""

    def __init__(self, case, name, service, zone, slots, answer, back_after=3.0):
        self.case, self.name, self.service, self.zone = case, name, service, zone
        self.slots, self.answer, self.back_after = slots, answer, back_after
        self.boot = 0
        self.port = 0
        self.running = 0
        self.writers = set()
        self.arrivals = []
        self.crashes = []
        self.tasks = set()
        self.up = False

    @property
    def id(self):
        return "i-%s-%d" % (self.name, self.boot)

    async def start(self):
        self.boot += 1
        self.running = 0
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.up = True
        await self.case.store.put("servers/" + self.id, {
            "Service": self.service, "Address": "127.0.0.1:%d" % self.port, "Zone": self.zone,
            "Version": 1, "Slots": self.slots, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
            "born": 1_790_000_000_000 + int(now() * 1000)})

    def crash(self, why):
        """The process dies: its channels are reset, and it is back after some seconds."""
        if not self.up:
            return
        self.up = False
        self.crashes.append(now())
        self.case.record.line("engine %s crashes: %s" % (self.id, why))
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self._later(self._return(self.id))

    def exit(self):
        """The process ends for good, after it has left."""
        self.up = False
        self.case.record.line("engine %s exits" % self.id)
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    def _later(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _return(self, old_id):
        self._later(self._lapse(old_id))
        await asyncio.sleep(self.back_after)
        await self.start()
        self.case.record.line("engine %s is back" % self.id)

    async def _lapse(self, old_id):
        await asyncio.sleep(LAPSE_SECONDS)
        await self.case.store.remove("servers/" + old_id)

    async def _serve(self, reader, writer):
        boot = self.boot
        self.writers.add(writer)
        try:
            while self.boot == boot and self.up:
                start_line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                attempt = headers.get("comfreypass-attempt-id", "")
                if headers.get("comfreypass-expect-instance") != self.id:
                    writer.write(head("HTTP/1.1 421 Misdirected Request",
                                      [("Comfreypass-Attempt-Id", attempt)], b""))
                    continue
                if self.running >= self.slots * 2:
                    writer.write(head("HTTP/1.1 503 Service Unavailable",
                                      [("Comfreypass-Attempt-Id", attempt),
                                       ("Comfreypass-Not-Executed", "1")], b""))
                    continue
                self.arrivals.append((now(), attempt))
                self.running += 1
                try:
                    await self._run(reader, writer, start_line, headers, body)
                finally:
                    self.running -= 1
        except Engine.Crash as why:
            self.crash(str(why))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(self, reader, writer, start_line, headers, body):
        """Answers a request; drops it when its channel closes."""
        work = asyncio.ensure_future(self.answer(self, start_line, headers, body, writer))
        gone = asyncio.ensure_future(reader.read(1))
        done, _ = await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if work not in done:
            work.cancel()
            await asyncio.wait({work})
            raise ConnectionError("the channel closed during a run")
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        work.result()


async def answer_plain(engine, start_line, headers, body, writer, text=b"done", seconds=0.015):
    await asyncio.sleep(seconds)
    attempt = headers.get("comfreypass-attempt-id", "")
    writer.write(head("HTTP/1.1 200 OK", [("Comfreypass-Attempt-Id", attempt),
                                          ("Comfreypass-Response-Seal", "%s.%s"
                                           % (engine.id, attempt))], text))
    await writer.drain()


def stream_head(engine, headers):
    attempt = headers.get("comfreypass-attempt-id", "")
    return head("HTTP/1.1 200 OK", [("Comfreypass-Attempt-Id", attempt),
                                    ("Comfreypass-Response-Seal", "%s.%s" % (engine.id, attempt)),
                                    ("Content-Type", "text/event-stream"),
                                    ("Transfer-Encoding", "chunked")])


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def answer_stream(engine, headers, writer, events, interval):
    first = int(headers.get("last-event-id", "0")) + 1
    writer.write(stream_head(engine, headers))
    for number in range(first, events + 1):
        await asyncio.sleep(interval)
        writer.write(chunk(b"id: %d\ndata: token\n\n" % number))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
