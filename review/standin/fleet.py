"""Stand-ins for the users' platform: store, engines, callers, and the gateway processes under test.

All addresses are loopback addresses. Times are seconds of the steady clock since the start of the case.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.realpath(
    os.path.join(os.path.dirname(os.path.realpath(__file__)), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "src", "app", "comfreypass")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START = time.monotonic()


class CannotRun(Exception):
    """The case could not be set up; run.sh exits with 2."""


def now():
    return time.monotonic() - START


class Record:
    """Writes what was sent, answered and run to record.txt beside the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def line(self, text):
        print("%8.3f %s" % (now(), text), file=self.file, flush=True)


def free_net():
    """A loopback network of this case's own, so that runs at the same time share no address."""
    pid = os.getpid()
    return "127.%d.%d." % (1 + pid % 250, 1 + pid // 250 % 250)


def free_ports(addresses):
    """Ports that are free on all addresses; as on the platform, they are the same on all machines."""
    draw = random.Random()
    ports = []
    while len(ports) < 5:
        port = draw.randrange(20000, 32000)
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((address, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return dict(zip(("callers", "readiness", "addresses", "peers", "metrics"), ports))


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head(start_line, fields, body=None):
    lines = [start_line] + ["%s: %s" % field for field in fields]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


class Store:
    """The platform's store: reads and watches over a history of revisions."""

    def __init__(self):
        self.revision = 1
        self.records = {}
        self.events = []
        self.changed = asyncio.Condition()
        # Channels on which a watch is waiting.
        self.waiting = set()

    async def put(self, key, document):
        async with self.changed:
            self.revision += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self.records[key] = {"Key": key, "Value": value, "Rev": self.revision,
                                 "Created": self.revision, "Lease": 0}
            self.events.append(self.records[key])
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.records.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"Key": key, "Rev": self.revision, "Deleted": True})
            self.changed.notify_all()

    def cut_watches(self):
        """Closes the channels of the watches that are waiting; new calls are answered at once."""
        cut = list(self.waiting)
        for writer in cut:
            writer.close()
        return len(cut)

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                start_line, headers = await read_head(reader)
                await read_body(reader, headers)
                target = urllib.parse.urlsplit(start_line.split()[1])
                query = dict(urllib.parse.parse_qsl(target.query))
                if target.path == "/api/kv-watch":
                    self.waiting.add(writer)
                try:
                    status, body = await self._answer(target.path, query)
                finally:
                    self.waiting.discard(writer)
                if writer.is_closing():
                    return
                text = json.dumps(body).encode()
                writer.write(head("HTTP/1.1 %s" % status, [("Content-Type", "application/json")],
                                  text))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == "/api/kv-key":
            item = self.records.get(query.get("Key", ""))
            return ("200 OK", {**item, "AsOf": self.revision}) if item else ("404 Not Found", {})
        prefix = query.get("PathPrefix", "")
        if path == "/api/kv-range":
            keys = [key for key in sorted(self.records)
                    if key.startswith(prefix) and key > query.get("After", "")]
            return "200 OK", {"Entries": [self.records[key] for key in keys[:500]],
                              "HasMore": len(keys) > 500, "AsOf": self.revision}
        if path != "/api/kv-watch":
            return "404 Not Found", {}
        after = int(query["After"])

        def matching():
            return [each for each in self.events
                    if each["Rev"] > after and each["Key"].startswith(prefix)]
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(matching),
                                       min(int(query.get("WaitMs", "0")), 30000) / 1e3)
            except asyncio.TimeoutError:
                pass
            return "200 OK", {"events": matching(), "AsOf": self.revision}


class Node:
    """One gateway process with the settings that the deploy file's template gives it."""

    def __init__(self, folder, number, address, zone, seeds, store_port, ports, descriptors=4100):
        self.name = "front-%d" % number
        self.PORTS = ports
        self.address = address
        self.zone = zone
        self.path = os.path.join(folder, self.name)
        self.process = None
        self.settings = {
            "name": self.name, "failureDomain": zone, "region": "central-valley",
            "listen": {name: "%s:%d" % (address, port) for name, port in self.PORTS.items()},
            "records": "127.0.0.1:%d" % store_port,
            "retries": {"ratio": 0.2, "extra": 56, "windowSeconds": 10},
            "graceSeconds": 8, "longestAddressTtlSeconds": 5, "linkMegabitsPerSecond": 1000,
            "descriptors": descriptors}
        self.write_settings(seeds)

    def write_settings(self, seeds):
        document = {**self.settings, "seeds": ["%s:8229" % each for each in seeds]}
        with open(self.path + ".json.new", "w", encoding="utf-8") as file:
            json.dump(document, file)
        os.replace(self.path + ".json.new", self.path + ".json")

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C", "COMFREYPASS_SETTINGS": self.path + ".json"}
        with open(self.path + ".log", "a", encoding="utf-8") as log:
            self.process = subprocess.Popen([PROGRAM, "gateway"], stdout=log, stderr=log,
                                            cwd=ROOT, env=environment)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def ready(self):
        try:
            return await asyncio.wait_for(self._ready(), 1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def _ready(self):
        reader, writer = await asyncio.open_connection(self.address, self.PORTS["readiness"])
        try:
            writer.write(head("GET /api/ready HTTP/1.1", [("Host", "platform")]))
            start_line, _ = await read_head(reader)
            return " 200 " in start_line
        finally:
            writer.close()

    async def metric(self, name):
        reader, writer = await asyncio.open_connection(self.address, self.PORTS["metrics"])
        try:
            writer.write(head("GET /metrics HTTP/1.1", [("Host", "platform")]))
            _, headers = await read_head(reader)
            body = (await read_body(reader, headers)).decode()
        finally:
            writer.close()
        return [line for line in body.splitlines() if line.startswith(name)]


def route(name, path, kind, service, **more):
    return {"Name": name, "Host": "caller.example", "PathPrefix": path, "Kind": kind,
            "TimeoutMs": 800, "AimMs": 100, "Priority": 2, "Service": service, "MaxAttempts": 1,
            "Public": False, **more}


def configuration(version, routes, services, tenants, limits=None):
    return {"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000, **(limits or {})}}


class Case:
    """Starts a store, engines and nodes, and ends all of them."""

    def __init__(self, script):
        self.here = os.path.dirname(os.path.abspath(script))
        self.record = Record(self.here)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.net = free_net()
        self.store = Store()
        self.nodes = []

    async def start_store(self):
        self.store_port = await self.store.start()

    def add_nodes(self, count, zones=("zone-a", "zone-b", "zone-c", "zone-d"), seeds=None, **more):
        addresses = [self.net + str(number + 1) for number in range(count)]
        ports = free_ports(addresses)
        for number, address in enumerate(addresses):
            self.nodes.append(Node(self.folder, number, address, zones[number % len(zones)],
                                   seeds or addresses[:3], self.store_port, ports, **more))
        return self.nodes

    async def wait_ready(self, nodes, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all([await each.ready() for each in nodes]):
                return
            await asyncio.sleep(0.05)
        raise CannotRun("nodes not ready after %d s" % seconds)

    def close(self):
        for node in self.nodes:
            node.end()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run(script, scenario, limit=110):
    """Runs a case. `scenario(case)` returns the breaches of the rule, one text each."""
    if not os.access(PROGRAM, os.X_OK):
        print("the program is not built", file=sys.stderr)
        sys.exit(2)
    case = Case(script)

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await asyncio.wait_for(scenario(case), limit)
    code = 2
    try:
        # Unlike asyncio.run(), this does not wait for the tasks of the stand-ins.
        breaches = asyncio.new_event_loop().run_until_complete(main())
        for each in breaches:
            case.record.line("BREACH " + each)
        case.record.line("result: %s (trouble %s)" % ("broken" if breaches else "held",
                                                     "on" if TROUBLE else "off"))
        code = 1 if breaches else 0
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        case.record.line("could not run: %r" % error)
    finally:
        case.close()
    sys.stdout.flush()
    # Leaves the tasks of the stand-ins behind.
    os._exit(code)
