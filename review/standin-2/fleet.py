"""Stand-ins of the platform for the scripts of the second review: store, engines and machines.

The nodes are started with the command of deploy/system.toml, and with settings that are rendered from
deploy/node.settings.json with the fields of a small deployment. Only loopback addresses are used.
"""

import asyncio
import base64
import collections
import json
import os
import re
import resource
import shutil
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "h.example"
FRONT_PORT, READY_PORT, DIRECTORY_PORT, CONTROL_PORT = 8221, 8224, 8220, 8229
MEMORY_MB, MAX_FDS, CONTACT_MS = 260, 4100, 3000
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
          "IdleTimeoutMs": 15000}


class CannotRun(Exception):
    """The machine of the test lacks something that the case needs."""


class Record:
    """Writes what was sent, answered and run to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, *fields):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, " ".join(map(str, fields))))
        self.file.flush()


async def read_head(reader):
    """Returns (start line, headers with lower-case names)."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    return lines[0], headers


class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.whole = None, {}, b"", False


async def read_answer(reader):
    """Reads one response; `whole` tells whether it was complete."""
    answer = Answer()
    try:
        line, answer.headers = await read_head(reader)
        answer.status = int(line.split()[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
        else:
            answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return answer


class Store:
    """The platform's store: lists and watches."""

    def __init__(self):
        self.revision, self.items, self.events = 5, {}, []
        self.changed = asyncio.Condition()

    async def put(self, key, document):
        async with self.changed:
            self.revision += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self.items[key] = {"Key": key, "Value": value, "Rev": self.revision,
                               "Created": self.revision, "Lease": 0}
            self.events.append(self.items[key])
            self.changed.notify_all()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _ = await read_head(reader)
                target = urllib.parse.urlsplit(line.split()[1])
                body = json.dumps(await self._answer(
                    target.path, dict(urllib.parse.parse_qsl(target.query)))).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        prefix = query.get("PathPrefix", "")
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > query.get("After", ""))
            return {"Entries": [self.items[key] for key in keys], "HasMore": False,
                    "AsOf": self.revision}

        def later():
            return [each for each in self.events
                    if each["Rev"] > int(query["After"]) and each["Key"].startswith(prefix)]
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(later), int(query["WaitMs"]) / 1e3)
            except asyncio.TimeoutError:
                pass
            return {"events": later(), "AsOf": self.revision}


class Engine:
    """A sound server: answers each request after a few milliseconds and records that it ran.

    If `has_length` is false, its answers have neither a length nor chunks and end with their channel.
    """

    def __init__(self, name, service, zone, slots, record):
        self.name, self.service, self.zone, self.slots, self.record = (
            name, service, zone, slots, record)
        self.running, self.port, self.has_length, self.work_seconds = 0, 0, True, 0.015
        self.server, self.channels, self.behaviour, self.is_up = None, set(), None, False

    async def start(self, store):
        """Starts, also again after a crash: at the same address under the same id."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.running, self.is_up = 0, True
        await store.put("servers/" + self.name, {
            "Service": self.service, "Address": "127.0.0.1:%d" % self.port, "Zone": self.zone,
            "Version": "v1", "Slots": self.slots, "State": "ready", "ColdLeftMs": 0,
            "born": int(time.time() * 1000), "Seq": 1})

    def crash(self):
        """Ends like a killed process: its channels end, and its port refuses new ones. Returns whether
        it was up."""
        if not self.is_up:
            return False
        self.is_up = False
        self.record("crash of", self.name)
        self.server.close()
        for channel in self.channels:
            channel.transport.abort()
        return True

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                await reader.readexactly(int(headers.get("content-length", "0")))
                await self._answer(headers, writer)
                if not self.has_length:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def _answer(self, headers, writer):
        attempt = headers.get("comfreypass-attempt-id", "")
        echo = b"Comfreypass-Attempt-Id: %s\r\n" % attempt.encode()
        if headers.get("comfreypass-expect-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\n" + echo
                         + b"Content-Length: 0\r\n\r\n")
        elif self.running >= self.slots:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\n" + echo
                         + b"Comfreypass-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        else:
            self.record("run", attempt, "at", self.name)
            if self.behaviour is not None:
                await self.behaviour(self, headers, writer, echo)
                return
            self.running += 1
            await asyncio.sleep(self.work_seconds)
            self.running -= 1
            length = b"Content-Length: 800\r\n" if self.has_length else b""
            writer.write(b"HTTP/1.1 200 OK\r\n" + echo + b"Comfreypass-Response-Seal: "
                         + self.name.encode() + b"\r\n" + length + b"\r\n" + b"r" * 800)
        await writer.drain()


def lookup(fields, path):
    for name in path.split("."):
        fields = fields[int(name)] if isinstance(fields, list) else fields[name]
    return fields


def render(template, fields):
    """Fills in the template as the platform does, as far as deploy/node.settings.json needs it."""
    def section(match):
        entries = lookup(fields, match.group(1))
        return "".join(match.group(2).replace("{{.}}", str(each)).replace(
            "{{,}}", "," if number + 1 < len(entries) else "")
            for number, each in enumerate(entries))
    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}", section, template)
    return re.sub(r"{{([\w.]+)}}", lambda match: str(lookup(fields, match.group(1))), text)


class Node:
    """One machine of the system: a process with the platform's limits."""

    def __init__(self, fleet, number, address, zone, count):
        self.address, self.name = address, "front-%d" % number
        self.settings = os.path.join(fleet.folder, self.name + ".settings")
        fields = {
            "Node": self.name, "Zone": zone, "Region": "central-valley", "Ip": address,
            "PortRange": [7600, 7615],
            "Listen": {"Front": "%s:%d" % (address, FRONT_PORT),
                       "Ready": "%s:%d" % (address, READY_PORT),
                       "Directory": "%s:%d" % (address, DIRECTORY_PORT)},
            "Seeds": ["%s:%d" % (fleet.address(each), CONTROL_PORT)
                      for each in range(min(count, 3))],
            "Platform": {"Address": "127.0.0.1:%d" % fleet.store_port},
            "Bounds": {"BudgetRatio": 0.2, "BudgetExtra": 56, "BudgetWindowS": 10, "GraceS": 8,
                       "ttl_max_s": 5},
            "Limits": {"LinkMbps": 1000.0, "MaxFds": MAX_FDS, "MemoryMb": MEMORY_MB}}
        with open(os.path.join(ROOT, fleet.role["template"]), encoding="utf-8") as template:
            text = render(template.read(), fields)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        log = open(os.path.join(fleet.folder, self.name + ".log"), "w", encoding="utf-8")
        self.process = subprocess.Popen(
            fleet.role["run"].split(), cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
            env={**os.environ, "COMFREYPASS_SETTINGS": self.settings},
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)))

    def resident_mb(self):
        """Returns the resident memory, or 0 if the process has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as status:
                return int(re.search(r"VmRSS:\s+(\d+)", status.read()).group(1)) // 1024
        except (OSError, AttributeError):
            return 0

    async def is_ready(self):
        """Asks like the platform: returns whether the readiness check gets a 200."""
        try:
            return await asyncio.wait_for(self._is_ready(), 1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def _is_ready(self):
        reader, writer = await asyncio.open_connection(self.address, READY_PORT)
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
            return line.split()[1] == "200"
        finally:
            writer.close()


class Fleet:
    """A small deployment: one store, four engines of one service, and a few nodes."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store, self.nodes, self.engines, self.store_port = Store(), [], [], 0
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["gateway"]
        if not os.access(os.path.join(ROOT, self.role["run"].split()[0]), os.X_OK):
            raise CannotRun("the program of the deploy file is not built")
        if resource.getrlimit(resource.RLIMIT_NOFILE)[1] < MAX_FDS:
            raise CannotRun("fewer descriptors than the %d of a small deployment" % MAX_FDS)

    @staticmethod
    def address(number):
        # Derived from the process id, so that runs beside each other share no address.
        return "127.%d.%d.%d" % (10 + os.getpid() % 200, os.getpid() // 200 % 250, number + 1)

    async def start(self, count, engines=None, routes=None, tenants=()):
        """Starts `count` nodes and, if none are given, four engines with a route of each kind."""
        self.store_port = await self.store.start()
        self.engines = engines or [Engine("i-%d" % number, "desk", "zone-a", 6, self.record)
                                   for number in range(4)]
        for engine in self.engines:
            await engine.start(self.store)
        await self.store.put("op/config", {
            "Version": 7, "Limits": LIMITS, "Tenants": list(tenants),
            "Routes": routes or [{"Name": "r-" + name, "Host": HOST, "PathPrefix": "/%s/" % name,
                        "Kind": kind, "TimeoutMs": 1500, "AimMs": 100, "Priority": 2,
                        "Service": "desk", "MaxAttempts": attempts, "Public": True,
                        "Sticky": False, "Resumable": False}
                       for name, kind, attempts in (("lookup", "idempotent", 2),
                                                    ("booking", "non_idempotent", 1))],
            "Services": [{"Name": "desk", "HealthPath": "/health", "MaxConns": 620,
                          "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0}]})
        for number in range(count):
            self.nodes.append(Node(self, number, self.address(number), "zone-a", count))
        end = time.monotonic() + 10
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > end or node.process.poll() is not None:
                    raise CannotRun("a node does not become ready")
                await asyncio.sleep(0.05)
        # The nodes learn of each other and of the engines.
        await asyncio.sleep(1)

    def stop(self):
        for node in self.nodes:
            if node.process.poll() is None:
                node.process.kill()
            node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def request_head(method, attempt, fields="", path="/lookup/x"):
    return (method + " " + path + " HTTP/1.1\r\nHost: %s\r\nComfreypass-Attempt-Id: %s\r\n"
            "Comfreypass-Deadline-Ms: 1500\r\n%s" % (HOST, attempt, fields)).encode()


async def ask(address, attempt, record, request=None):
    """An ordinary caller: one request on a new channel, a lookup if none is given. Returns the status,
    or None without an answer."""
    status, writer = None, None
    try:
        # As on the pages: a second for the channel, then the request's time limit.
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, FRONT_PORT), 1)
        writer.write(request or request_head("GET", attempt) + b"\r\n")
        answer = await asyncio.wait_for(read_answer(reader), 2)
        status = answer.status if answer.whole else None
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    record("asked", attempt, "answered", status)
    return status


def longest_gap(times, begin, end):
    """Returns the longest time without an entry of `times` between begin and end, in seconds."""
    marks = [begin] + sorted(each for each in times if begin <= each <= end) + [end]
    return max(later - earlier for earlier, later in zip(marks, marks[1:]))


def run_case(main):
    """Runs `main` to its end and maps its result: True if the rule held."""
    import sys
    try:
        held = asyncio.run(main())
    except Exception as error:  # Whatever fails in the test itself is no broken rule.
        print("could not run: %r" % error)
        sys.stdout.flush()
        os._exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(0 if held else 1)
