"""A small deployment on loopback addresses: nodes as real processes, store, engines and clients as stand-ins.

Nodes start with the command and the settings template of the deploy file. The stand-ins speak what
the users' pages say and otherwise behave like a sound store, engine or client.
"""

import asyncio
import base64
import json
import os
import re
import resource
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONTACT_SECONDS = 3.0
HOST = "ficu95.example"
# A client tries this many directories and allows each so many seconds.
DIRECTORIES, DIRECTORY_SECONDS = 3, 1.0
# Places of a machine, as in the settings of a small deployment.
MEMORY_MEGABYTES, DESCRIPTORS = 260, 4100
READY_SECONDS = 15


class CannotRun(Exception):
    """The case cannot be tried on this machine."""


def free_ports(count):
    """Returns ports, in rising order, that are free for TCP and UDP on all addresses."""
    held, ports = [], []
    while len(ports) < count:
        tcp, udp = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        held += [tcp, udp]
        tcp.bind(("", 0))
        try:
            udp.bind(("", tcp.getsockname()[1]))
            ports.append(tcp.getsockname()[1])
        except OSError:
            pass
    for each in held:
        each.close()
    return sorted(ports)


# Ports are the same on all machines; the last two stand for the range between nodes.
FRONT, READY, DIRECTORY, CONTROL, *PORT_RANGE = free_ports(6)


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text, *values):
        line = "%8.3f  %s" % (time.monotonic() - self.start, text % values if values else text)
        print(line, file=self.file, flush=True)

    def say(self, text, *values):
        self(text, *values)
        print(text % values if values else text, flush=True)


def encode(start_line, fields, body=b""):
    lines = [start_line] + ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def read_head(reader):
    """Returns the start line and the fields, by lower-case name."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Server:
    """Answers requests on a loopback port, one after another on each channel."""

    async def listen(self, address="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, address, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self.address

    async def _serve(self, reader, writer):
        try:
            while True:
                start_line, fields = await read_head(reader)
                await self.handle(start_line, fields, await read_body(reader, fields), writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Store(Server):
    """The platform's store: ranges and watches over a history of revisions."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def put(self, key, document):
        async with self.changed:
            self.revision += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            created = self.items.get(key, {}).get("Created", self.revision)
            self.items[key] = {"Key": key, "Value": value, "Rev": self.revision,
                               "Created": created, "Lease": 0}
            self.events.append(self.items[key])
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"Key": key, "Rev": self.revision, "Deleted": True})
            self.changed.notify_all()

    async def handle(self, start_line, fields, body, writer):
        target = urllib.parse.urlsplit(start_line.split()[1])
        status, document = await self.answer(target.path,
                                             dict(urllib.parse.parse_qsl(target.query)))
        text = json.dumps(document).encode()
        writer.write(encode("HTTP/1.1 " + status, [("Content-Type", "application/json"),
                                                   ("Content-Length", len(text))], text))
        await writer.drain()

    async def answer(self, path, query):
        prefix = query.get("PathPrefix", "")
        if path == "/api/kv-range":
            keys = [key for key in sorted(self.items)
                    if key.startswith(prefix) and key > query.get("After", "")]
            return "200 OK", {"Entries": [self.items[key] for key in keys], "HasMore": False,
                              "AsOf": self.revision}
        if path != "/api/kv-watch":
            return "404 Not Found", {}
        after = int(query["After"])

        def events():
            return [event for event in self.events
                    if event["Rev"] > after and event["Key"].startswith(prefix)]
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(events), int(query["WaitMs"]) / 1e3)
            except asyncio.TimeoutError:
                pass
            return "200 OK", {"events": events(), "AsOf": self.revision}


class Engine(Server):
    """A sound engine of a plain service; `runs` lists the ids of the requests that it ran."""

    def __init__(self, name, record, work_seconds=0.02):
        self.name, self.record, self.work_seconds = name, record, work_seconds
        self.runs = []

    async def handle(self, start_line, fields, body, writer):
        attempt = fields.get("comfreypass-attempt-id", "")
        answer = [("Comfreypass-Attempt-Id", attempt)]
        if fields.get("comfreypass-expect-instance") != self.name:
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                answer + [("Content-Length", 0)]))
        else:
            self.runs.append(attempt)
            self.record("engine %s runs %s, body of %d bytes", self.name, attempt, len(body))
            await asyncio.sleep(self.work_seconds)
            text = b"answer to " + attempt.encode()
            answer += [("Comfreypass-Response-Seal", "s." + attempt),
                       ("Content-Length", len(text))]
            writer.write(encode("HTTP/1.1 200 OK", answer, text))
        await writer.drain()


def render(template, values):
    """Fills in the platform's placeholders, as far as the deploy file uses them."""
    def lookup(name):
        found = values
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return found

    def section(match):
        entries = lookup(match.group(1))
        return "".join(match.group(2).replace("{{.}}", str(each))
                       .replace("{{,}}", "," if index < len(entries) - 1 else "")
                       for index, each in enumerate(entries))
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1))), text)


class Node:
    """One machine with the role of the deploy file."""

    def __init__(self, name, ip, zone, seeds, store_address, folder):
        self.name, self.ip, self.zone = name, ip, zone
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = render(file.read(), {
                "Node": name, "Zone": zone, "Region": "norte", "Ip": ip, "PortRange": PORT_RANGE,
                "Listen": {"Front": "%s:%d" % (ip, FRONT), "Ready": "%s:%d" % (ip, READY),
                           "Control": "%s:%d" % (ip, CONTROL),
                           "Directory": "%s:%d" % (ip, DIRECTORY)},
                "Seeds": ["%s:%d" % (seed, CONTROL) for seed in seeds],
                "Platform": {"Address": store_address},
                "Limits": {"LinkMbps": 1000.0, "MaxFds": DESCRIPTORS,
                           "MemoryMb": MEMORY_MEGABYTES},
                "Bounds": {"BudgetRatio": 0.2, "BudgetExtra": 52, "BudgetWindowS": 10,
                           "GraceS": 8, "ttl_max_s": 5}})
        self.command = role["run"].split()
        self.settings = os.path.join(folder, name + ".settings")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the program of the deploy file is not built")
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                env={"PATH": os.environ["PATH"], "COMFREYPASS_SETTINGS": self.settings},
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE,
                                                      (DESCRIPTORS, DESCRIPTORS)))

    def peak_megabytes(self):
        with open("/proc/%d/status" % self.process.pid, encoding="utf-8") as file:
            return int(re.search(r"VmHWM:\s+(\d+) kB", file.read()).group(1)) / 1024

    async def is_ready(self):
        """What the platform's own check sees."""
        answer = await exchange((self.ip, READY), encode("GET /api/ready HTTP/1.1",
                                                         [("Host", self.name)]), 1)
        return answer is not None and answer[0] == 200


async def exchange(address, request, seconds):
    """Returns status, fields and body of the answer on a new channel; None without one."""
    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(request)
            start_line, fields = await read_head(reader)
            return int(start_line.split()[1]), fields, await read_body(reader, fields)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), seconds)
    except (OSError, EOFError, asyncio.TimeoutError):
        return None


def configuration(version=7):
    def route(name, kind, attempts):
        return {"Name": name, "Host": HOST, "PathPrefix": "/%s/" % name, "Kind": kind,
                "TimeoutMs": 1500, "AimMs": 150, "Priority": 2, "Service": "balcao",
                "MaxAttempts": attempts, "Public": False}
    return {"Version": version, "Routes": [route("recolha", "non_idempotent", 1),
                                           route("rotulo", "idempotent", 2)],
            "Services": [{"Name": "balcao", "HealthPath": "/health", "MaxConns": 96,
                          "Protocol": "h1", "Tls": False, "ColdS": 0.0, "ColdPerS": 0.0}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "lab", "ApiKeys": ["key-of-lab"]},
                        {"Name": "crowd", "ApiKeys": ["key-of-crowd"]}]}


class Lab:
    """Starts a deployment and ends every process that it started."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        # Derived from the process id, so that concurrent runs do not share addresses.
        self.net = "127.%d.%d." % (16 + os.getpid() % 200, 1 + os.getpid() // 200 % 250)
        self.nodes, self.engines, self.others = [], [], []

    async def start_engines(self, zones, count):
        """Starts engines of the plain service."""
        for number in range(count):
            engine = Engine("i-%d" % number, self.record)
            self.engines.append(engine)
            await self.store.put("servers/" + engine.name, {
                "Service": "balcao", "Address": await engine.listen(),
                "Zone": zones[number % len(zones)], "Version": "v1", "Slots": 6,
                "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": 1_790_000_000_000 + number})

    async def start(self, zones, start_engines=None, document=None):
        """Starts store, engines and one node for each zone in the list, and waits until all are ready."""
        self.store = Store()
        store_address = await self.store.listen()
        await (start_engines() if start_engines else self.start_engines(zones, 4))
        await self.store.put("op/config", document or configuration())
        addresses = [self.net + str(number + 1) for number in range(len(zones))]
        for number, (ip, zone) in enumerate(zip(addresses, zones)):
            self.nodes.append(Node("front-%s-%d" % (zone, number + 1), ip, zone, addresses[:3],
                                   store_address, self.folder))
        for node in self.nodes:
            node.start()
        end = time.monotonic() + READY_SECONDS
        while not all([await node.is_ready() for node in self.nodes]):
            if time.monotonic() > end:
                raise CannotRun("the nodes did not become ready")
            await asyncio.sleep(0.2)
        self.record("%d nodes are ready", len(self.nodes))

    def start_process(self, command, **options):
        process = subprocess.Popen(command, **options)
        self.others.append(process)
        return process

    def close(self):
        for process in self.others + [node.process for node in self.nodes
                                      if hasattr(node, "process")]:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, scenario):
    """Runs `scenario(lab)`, which returns why the rule was broken, or None; exits as the issue asks."""
    async def run():
        lab = Lab(folder)
        try:
            return lab, await scenario(lab)
        finally:
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            lab.close()
    try:
        lab, broken = asyncio.run(run())
    except (CannotRun, OSError) as error:
        print("could not run: %s" % error)
        sys.exit(COULD_NOT_RUN)
    lab.record.say("%s: %s", "trouble" if TROUBLE else "no trouble",
                   "BROKEN, " + broken if broken else "held")
    sys.exit(BROKEN if broken else HELD)
