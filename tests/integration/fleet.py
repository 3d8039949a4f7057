"""A fleet of node processes whose upstreams are stand-ins behind fault-injecting proxies."""

import argparse
import json
import os
import re
import signal
import sys
import tempfile
import unittest

import caller
from processes import PortReservation, Processes, wait_for

DOMAINS = ["sanjose-a", "heredia-b", "cartago-c", "alajuela-d"]
PROGRAMS = None
# Shorter than the default of 10 s, so that a drain ends sooner.
ADDRESS_KEEP_MS = 2000


class Upstream:
    """A stand-in for an engine of an upstream and the proxy through which the nodes reach it."""

    def __init__(self, processes, kind, name, upstream, domain, proxied=True):
        self.name = name
        self.upstream = upstream
        self.domain = domain
        # Held until the fleet stops, so that no other process listens there after a kill.
        self.port = PortReservation()
        self.process, line = processes.start_listening(
            [PROGRAMS.standin, kind, "--listen", self.port.address])
        self.address = line.split()[-1]
        self.published_address = self.address
        if not proxied:
            return
        _, line = processes.start_listening(
            [PROGRAMS.proxy, "--target-port", self.address.split(":")[1]])
        self.published_address, self.proxy_control = re.findall(r"127\.0\.0\.1:\d+", line)

    def counters(self):
        return caller.request(self.address, "GET", "/counters").json()

    def control(self, **values):
        response = caller.post_json(self.address, "/control", values)
        assert response.status == 200, response

    def proxy(self, command):
        response = caller.request(self.proxy_control, "POST", "/control", command)
        assert response.status == 200, response


class Node:
    """Addresses, operator pages and process of one node; Fleet.start_node() starts it."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.ports = [PortReservation() for _ in range(3)]
        self.callers, self.peers, self.operators = [port.address for port in self.ports]
        self.process = None
        self.status = None

    def state(self):
        return caller.request(self.operators, "GET", "/state").json()

    def ready(self):
        try:
            return caller.request(self.operators, "GET", "/readyz").status == 200
        except OSError:
            return False

    def witnesses(self):
        return caller.request(self.callers, "GET", "/v1/addresses").json()["witnesses"]


class Fleet:
    """A configuration service, an instance list, a plain service, model engines and nodes."""

    def __init__(self, nodes=3, engines=1, engines_proxied=True):
        self.processes = Processes()
        self.folder = tempfile.TemporaryDirectory()
        try:
            self._start(nodes, engines, engines_proxied)
        except BaseException:
            self.stop()
            raise

    def _start(self, nodes, engines, engines_proxied):
        with open(PROGRAMS.sheet, encoding="utf-8") as file:
            self.sheet = file.read()
        self.revision = 20261
        # With one engine, the remaining nodes need slots there when a node is missing. The sheet
        # keeps its 8 entry nodes although fewer run, because the listed nodes share the slots.
        self.edit_sheet('"cold_slots": 1', '"cold_slots": 6')
        self.edit_sheet('"cold_slots": 2', '"cold_slots": 6')
        _, line = self.processes.start_listening([PROGRAMS.standin, "configuration"])
        self.configuration = line.split()[-1]
        _, line = self.processes.start_listening([PROGRAMS.standin, "instances"])
        self.instances = line.split()[-1]
        self.service = Upstream(self.processes, "service", "agenda-1", "agenda-cuadrillas",
                                DOMAINS[0])
        self.engines = [Upstream(self.processes, "engine", "asesor-%d" % (index + 1),
                                 "asesor-modelo", DOMAINS[index], engines_proxied)
                        for index in range(engines)]
        self.nodes = [Node("entry-%d" % (index + 1), DOMAINS[index]) for index in range(nodes)]
        self.publish_sheet()
        self.publish_instances()
        for node in self.nodes:
            self.start_node(node)
        self.wait_until_serving(self.nodes)

    def edit_sheet(self, old, new):
        assert old in self.sheet, old
        self.sheet = self.sheet.replace(old, new)

    def publish_sheet(self):
        response = caller.request(self.configuration, "PUT", "/control/value/sheet", self.sheet)
        assert response.status == 200, response

    def publish_next_sheet(self, old, new):
        """Publishes the sheet with a change under the next revision, which it returns."""
        self.edit_sheet(old, new)
        self.edit_sheet('"revision": %d' % self.revision, '"revision": %d' % (self.revision + 1))
        self.revision += 1
        self.publish_sheet()
        return self.revision

    def publish_instances(self):
        document = {
            "nodes": [{"name": node.name, "peer_address": node.peers,
                       "caller_address": node.callers, "failure_domain": node.domain,
                       "state": "live"} for node in self.nodes],
            "engines": [{"name": engine.name, "upstream": engine.upstream,
                         "address": engine.published_address, "failure_domain": engine.domain,
                         "generation": "" if engine is self.service else "g1",
                         "state": "live"} for engine in self.engines + [self.service]]}
        response = caller.request(self.instances, "PUT", "/control/instances", json.dumps(document))
        assert response.status == 200, response

    def start_node(self, node):
        settings = {
            "name": node.name, "failure_domain": node.domain,
            "listen": {"callers": node.callers, "peers": node.peers, "operators": node.operators},
            "peers": [other.peers for other in self.nodes if other is not node],
            "configuration_service": {"address": self.configuration, "key": "sheet"},
            "instance_list": {"address": self.instances},
            "timing": {"address_keep_ms": ADDRESS_KEEP_MS},
            "log": {"format": "json", "level": "info"}}
        path = os.path.join(self.folder.name, node.name)
        with open(path + ".settings.json", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        with open(path + ".log", "w", encoding="utf-8") as log:
            node.process = self.processes.start(
                [PROGRAMS.node, "serve", "--settings", path + ".settings.json"], log)

    def wait_until_serving(self, nodes):
        """Waits until the nodes are ready and their schedulers hold all their votes."""
        wait_for(lambda: all(node.ready() for node in nodes), "every node to become ready")

        def schedulers_hold_votes():
            votes = {}
            for node in nodes:
                for upstream, pool in node.state()["schedules"].items():
                    if any(engine["usable"] and engine["share"] > 0 for engine in pool["engines"]):
                        votes[upstream] = max(votes.get(upstream, 0), pool["votes_held"])
            return (len(votes) == 2 and min(votes.values()) >= len(nodes)
                    and all(sum(member["state"] == "alive" for member in node.state()["members"])
                            >= len(nodes) for node in nodes))
        wait_for(schedulers_hold_votes, "votes of every node at both schedulers")

    def witnesses(self, node):
        """Returns a witness token with three witnesses."""
        wait_for(lambda: len(node.state()["members"]) >= 3, "three members")
        return node.witnesses()

    def print_logs(self):
        """Prints the end of each node's log; CTest shows it only for failed tests."""
        for node in getattr(self, "nodes", []):
            print("exit status of %s before its stop: %s" % (node.name, node.status),
                  file=sys.stderr)
            path = os.path.join(self.folder.name, node.name + ".log")
            if os.path.exists(path):
                with open(path, encoding="utf-8") as file:
                    print("log of %s:\n%s" % (node.name, file.read()[-4000:]), file=sys.stderr)

    def stop(self):
        for node in getattr(self, "nodes", []):
            node.status = node.process.poll() if node.process is not None else None
        self.processes.stop_all()
        self.print_logs()
        for node in getattr(self, "nodes", []):
            for port in node.ports:
                port.release()
        for upstream in getattr(self, "engines", []) + [getattr(self, "service", None)]:
            if upstream is not None:
                upstream.port.release()
        self.folder.cleanup()


class FleetTest(unittest.TestCase):
    """Base class of the integration tests; each test starts its own fleet."""

    engines = 1
    engines_proxied = True

    def setUp(self):
        self.fleet = Fleet(engines=self.engines, engines_proxied=self.engines_proxied)
        self.addCleanup(self.fleet.stop)
        self.engine = self.fleet.engines[0]
        self.service = self.fleet.service

    def assert_problem(self, response, status, outcome, reasons=None):
        self.assertIsInstance(response, caller.Response)
        self.assertEqual(response.status, status, response)
        self.assertEqual(response.json()["outcome"], outcome, response)
        if reasons:
            self.assertIn(response.json()["reason"], reasons, response)

    def assert_dispatched_once(self):
        """Asserts that no request id reached an upstream twice and no booking ran twice."""
        for engine in self.fleet.engines:
            if engine.process.poll() is None:
                repeated = {key: count for key, count in engine.counters()["request_ids"].items()
                            if count > 1}
                self.assertEqual(repeated, {})
        for name in ("request_ids", "booking_runs"):
            repeated = {key: count for key, count in self.service.counters()[name].items()
                        if count > 1}
            self.assertEqual(repeated, {}, name)

    def assert_served(self, node, prompt="anchor check"):
        """Asserts that the node serves a chat request within the time limit of wait_for()."""
        def served():
            try:
                return caller.chat(node.callers, prompt, 3).status == 200
            except OSError:
                return False
        wait_for(served, "a chat response from " + node.name)


def send_signal(node, number):
    os.kill(node.process.pid, number)


def main():
    global PROGRAMS
    parser = argparse.ArgumentParser()
    for name in ("node", "standin", "proxy", "sheet"):
        parser.add_argument("--" + name, required=True)
    PROGRAMS, test_arguments = parser.parse_known_args()
    # CTest stops a test at its timeout; the child processes must end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    unittest.main(module="__main__", argv=[sys.argv[0]] + test_arguments)
