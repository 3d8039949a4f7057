"""A gateway process, its settings, and the intervals in which callers may see it fail."""

import asyncio
import json
import os
import signal
import subprocess
import time

from http_io import encode, read_message

CALLER_PORT, READINESS_PORT, ADDRESS_PORT, PEER_PORT, METRICS_PORT = range(7001, 7006)
GRACE_SECONDS = 8
CONFIGURATION_VERSION_METRIC = "comfreypass_gateway_configuration_version"


class Node:
    def __init__(self, program, folder, number, address, domain, seeds, store_port):
        self.name = "node-%d" % number
        self.program = program
        self.address = address
        self.domain = domain
        self.path = os.path.join(folder, self.name)
        self.process = None
        # [kind, start, end] of each kill, stop or pause; end is None while it lasts.
        self.disruptions = []
        ports = dict(zip(("callers", "readiness", "addresses", "peers", "metrics"),
                         (CALLER_PORT, READINESS_PORT, ADDRESS_PORT, PEER_PORT, METRICS_PORT)))
        settings = {
            "name": self.name, "failureDomain": domain, "region": "r",
            "listen": {name: "%s:%d" % (address, port) for name, port in ports.items()},
            "seeds": ["%s:%d" % (seed, PEER_PORT) for seed in seeds],
            "records": "127.0.0.1:%d" % store_port,
            "retries": {"ratio": 0.2, "extra": 20, "windowSeconds": 10},
            "graceSeconds": GRACE_SECONDS, "longestAddressTtlSeconds": 5, "descriptors": 512}
        with open(self.path + ".json", "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start(self):
        with open(self.path + ".log", "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [self.program, "gateway", "--settings", self.path + ".json"],
                stdout=log, stderr=subprocess.STDOUT)

    def signal(self, signal_number):
        self.process.send_signal(signal_number)

    def begin_disruption(self, kind):
        self.disruptions.append([kind, time.monotonic(), None])

    def end_disruption(self):
        for disruption in self.disruptions:
            if disruption[2] is None:
                disruption[2] = time.monotonic()

    def disrupted_between(self, start, end, kinds):
        """Returns whether a disruption of one of these kinds overlaps the interval."""
        return any(kind in kinds and began <= end and (ended is None or ended >= start)
                   for kind, began, ended in self.disruptions)

    async def get(self, port, path):
        """Returns the response body, or None without a status 200 response within one second."""
        try:
            return await asyncio.wait_for(self._get(port, path), 1)
        except (OSError, EOFError, asyncio.TimeoutError):
            return None

    async def _get(self, port, path):
        reader, writer = await asyncio.open_connection(self.address, port)
        try:
            writer.write(encode("GET %s HTTP/1.1" % path, {"Host": self.name}))
            response = await read_message(reader)
            return response.body.decode() if " 200 " in response.start_line else None
        finally:
            writer.close()

    async def is_listening(self):
        """Returns whether the process accepts caller connections."""
        try:
            _, writer = await asyncio.open_connection(self.address, CALLER_PORT)
            writer.close()
            return True
        except OSError:
            return False

    async def configuration_version(self):
        """Returns the version of the active configuration, or None if it is unknown."""
        body = await self.get(METRICS_PORT, "/metrics")
        for line in (body or "").splitlines():
            if line.startswith(CONFIGURATION_VERSION_METRIC):
                return float(line.split()[-1])
        return None

    def kill(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
