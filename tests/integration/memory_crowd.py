"""A crowd of callers that make a node hold as much as they can, and checks of what it then holds.

The bounds are not measured figures: VmHWM may reach the memory of the machine in the settings, which
is the budget for callers (32 MB) and the base of a process without callers (48 MB), and the open
descriptors may reach the limit in the settings.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "platform", "soak"))
from engine import Engine, new_run_log  # noqa: E402
from http_io import encode, read_message  # noqa: E402
from node import CALLER_PORT, Node  # noqa: E402
from store import Store  # noqa: E402

CALLER_MEGABYTES, BASE_MEGABYTES, DESCRIPTORS = 32, 48, 128
CLIENTS = 48
MAX_BODY_BYTES = 4 << 20
# Ends a crowd that the node neither serves nor refuses.
CROWD_SECONDS = 25
# The connections are left open for this time after the last byte.
HOLD_SECONDS = 1
READY_SECONDS = ANSWER_SECONDS = 30
CHUNK_BYTES = 65536


def chunked_head():
    return encode("POST /again/x HTTP/1.1", {"Host": "h", "Transfer-Encoding": "chunked"})


def sized_head(size):
    return encode("POST /again/x HTTP/1.1", {"Host": "h", "Content-Length": size})


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def configuration():
    route = {"Name": "again", "Host": "h", "PathPrefix": "/again/", "Kind": "idempotent",
             "TimeoutMs": 10_000, "AimMs": 300, "Priority": 1, "Service": "plain",
             "MaxAttempts": 2, "Public": True, "Resumable": False}
    return {"Version": 1, "Tenants": [], "Routes": [route],
            "Services": [{"Name": "plain", "MaxConns": 100, "ColdS": 0, "ColdPerS": 0}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": MAX_BODY_BYTES,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class Crowd:
    """Each client sends `head`, then `count` times `piece`, then leaves its connection open."""

    def __init__(self, program, head, piece, count):
        self.program, self.head, self.piece, self.count = program, head, piece, count
        self.max_descriptors = 0

    async def run(self, folder):
        store = Store()
        store_port = await store.start()
        engine = Engine("e0", new_run_log(), 1)
        await store.put("servers/e0", {
            "Service": "plain", "Address": "127.0.0.1:%d" % await engine.start(), "Zone": "d0",
            "Slots": 6, "State": "ready", "ColdLeftMs": 0, "born": 1})
        await store.put("op/config", configuration())
        address = "127.%d.%d.1" % (1 + os.getpid() % 250, 1 + os.getpid() // 250 % 250)
        node = Node(self.program, folder, 0, address, "d0", [address], store_port)
        with open(node.path + ".json", encoding="utf-8") as file:
            settings = json.load(file)
        settings.update(memoryMegabytes=CALLER_MEGABYTES + BASE_MEGABYTES,
                        callerMemoryMegabytes=CALLER_MEGABYTES, descriptors=DESCRIPTORS)
        with open(node.path + ".json", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        node.start()
        try:
            return await self.check(node)
        finally:
            node.kill()

    async def check(self, node):
        failures = []
        if not await self.is_answered(node, READY_SECONDS):
            return ["the node was not ready"]
        watch = asyncio.create_task(self.watch_descriptors(node))
        writers = []
        clients = [asyncio.create_task(self.send(node, writers)) for _ in range(CLIENTS)]
        await asyncio.wait(clients, timeout=CROWD_SECONDS)
        await asyncio.sleep(HOLD_SECONDS)
        if node.process.poll() is None and not await self.is_answered(node, ANSWER_SECONDS):
            failures.append("no ordinary request was answered")
        for task in (*clients, watch):
            task.cancel()
        for writer in writers:
            writer.transport.abort()
        if node.process.poll() is not None:
            return failures + ["the process ended with %s" % node.process.poll()]
        peak = peak_megabytes(node.process.pid)
        print("VmHWM %.0f MB, %d descriptors" % (peak, self.max_descriptors))
        if peak > CALLER_MEGABYTES + BASE_MEGABYTES:
            failures.append("VmHWM %.0f MB" % peak)
        if self.max_descriptors > DESCRIPTORS:
            failures.append("%d descriptors" % self.max_descriptors)
        return failures

    async def send(self, node, writers):
        try:
            _, writer = await asyncio.open_connection(node.address, CALLER_PORT)
            writers.append(writer)
            writer.write(self.head)
            for _ in range(self.count):
                writer.write(self.piece)
                await writer.drain()
        except OSError:
            pass

    async def watch_descriptors(self, node):
        while node.process.poll() is None:
            count = len(os.listdir("/proc/%d/fd" % node.process.pid))
            self.max_descriptors = max(self.max_descriptors, count)
            await asyncio.sleep(0.05)

    @staticmethod
    async def is_answered(node, seconds):
        """Returns whether an ordinary request is answered, possibly after refusals."""
        end = time.monotonic() + seconds
        while time.monotonic() < end and node.process.poll() is None:
            try:
                reader, writer = await asyncio.open_connection(node.address, CALLER_PORT)
                writer.write(encode("POST /again/x HTTP/1.1",
                                    {"Host": "h", "Comfreypass-Attempt-Id": "ordinary",
                                     "Content-Length": 5}, b"hello"))
                response = await asyncio.wait_for(read_message(reader), end - time.monotonic())
                writer.close()
                if " 200 " in response.start_line:
                    return True
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return False


def peak_megabytes(pid):
    with open("/proc/%d/status" % pid, encoding="ascii") as file:
        return next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmHWM"))


def main(head, piece, count, crowd=Crowd):
    parser = argparse.ArgumentParser()
    parser.add_argument("--node", required=True)
    program = parser.parse_known_args()[0].node
    with tempfile.TemporaryDirectory() as folder:
        failures = asyncio.run(crowd(program, head, piece, count).run(folder))
    print("failed: " + "; ".join(failures) if failures else "passed")
    sys.exit(1 if failures else 0)
