"""Randomised soak test of gateway processes: injects faults and checks the guarantees of the
gateway at the callers and at the engines.

Usage: soak.py --node PROGRAM [--seed N] [--seconds N] [--nodes N] [--statements KIND...]
[--unframed]. A failure prints its seed; the same seed reproduces the faults and their times, but not
the interleaving of the processes.
"""

import argparse
import asyncio
import collections
import os
import random
import signal
import sys
import tempfile
import time

from callers import Caller
from engine import Engine, new_run_log
from node import GRACE_SECONDS, Node
from proxy import MODES, Proxy
from store import Store

DOMAINS = ("d0", "d1")
NODE_COUNT = 4
CALLER_COUNT = 16
MODEL_ENGINE_COUNT = 4
PLAIN_ENGINE_COUNT = 3
RETRY_RATIO, RETRY_EXTRA, RETRY_WINDOW_SECONDS = 0.2, 20, 10
MAX_ATTEMPTS = 2
# Timeouts by path, and the time that a busy machine may add before a response counts
# as missing.
TIMEOUT_SECONDS = {"/once/x": 2, "/again/x": 2, "/stream/x": 5}
SLACK_SECONDS = 3
# The platform requires service to recover within this time after the last fault.
RECOVERY_SECONDS = 15
RECOVERY_REQUESTS = 40
FAULTS_PER_SECOND = 2
# An engine that has stated its leaving to a node receives no new requests from it after this time.
DRAIN_SECONDS = 0.5
# An engine that has asked a node for a pause receives at most this many requests from it between
# this time after its response and the end of the pause.
PAUSE_SLACK_SECONDS, PAUSE_REQUESTS = 0.5, 2
# An evacuated domain receives no new requests after this time.
EVACUATION_SECONDS = 5


def configuration(version):
    def route(name, path, kind, service):
        return {"Name": name, "Host": "h", "PathPrefix": path, "Kind": kind,
                "TimeoutMs": TIMEOUT_SECONDS[path + "x"] * 1000, "AimMs": 300, "Priority": 1,
                "Service": service, "MaxAttempts": MAX_ATTEMPTS, "Public": True,
                "Resumable": kind == "streaming"}
    return {"Version": version, "Tenants": [],
            "Routes": [route("once", "/once/", "non_idempotent", "plain"),
                       route("again", "/again/", "idempotent", "plain"),
                       route("stream", "/stream/", "streaming", "model")],
            "Services": [{"Name": name, "MaxConns": 100, "ColdS": 0, "ColdPerS": 0}
                         for name in ("plain", "model")],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 65536,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class Soak:
    def __init__(self, program, seed, seconds, folder, node_count=NODE_COUNT, statements=(),
                 unframed=False):
        self.program, self.seed, self.seconds, self.folder = program, seed, seconds, folder
        self.node_count = node_count
        self.unframed = unframed
        self.faults = self.FAULTS + tuple(self.STATEMENTS[each] for each in statements) * 4
        self.random = random.Random(seed)
        self.runs = new_run_log()
        self.outcomes = []
        self.failures = []
        self.statement_count = 0
        self.pause_count = 0
        self.version = 1
        self.evacuations = []
        # Engine, start and end of each time in which an engine states its leaving.
        self.departures = []

    async def start(self):
        self.store = Store()
        self.store_proxy = Proxy(await self.store.start())
        store_port = await self.store_proxy.start()
        self.engines = []
        for number in range(MODEL_ENGINE_COUNT + PLAIN_ENGINE_COUNT):
            engine = Engine("e%d" % number, self.runs, self.seed)
            engine.service = "model" if number < MODEL_ENGINE_COUNT else "plain"
            engine.domain = DOMAINS[number % len(DOMAINS)]
            engine.unframed = self.unframed
            engine.proxy = Proxy(await engine.start())
            engine.port = await engine.proxy.start()
            engine.born = 1
            self.engines.append(engine)
            await self.register_engine(engine)
        await self.store.put("op/config", configuration(self.version))
        # Derived from the process ID, so that concurrent runs do not share loopback addresses.
        net = "127.%d.%d." % (1 + os.getpid() % 250, 1 + os.getpid() // 250 % 250)
        addresses = [net + str(number + 1) for number in range(self.node_count)]
        self.nodes = [Node(self.program, self.folder, number, address,
                           DOMAINS[number % len(DOMAINS)], addresses[:3], store_port)
                      for number, address in enumerate(addresses)]
        for node in self.nodes:
            node.start()

    async def register_engine(self, engine):
        await self.store.put("servers/" + engine.name, {
            "Service": engine.service, "Address": "127.0.0.1:%d" % engine.port,
            "Zone": engine.domain, "Slots": 6, "State": "ready", "ColdLeftMs": 0,
            "born": engine.born})

    async def wait_for_version(self, timeout):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            versions = [await node.configuration_version() for node in self.nodes]
            if all(version == self.version for version in versions):
                return True
            await asyncio.sleep(0.2)
        self.failures.append("active configuration versions %s, published version %d"
                             % (versions, self.version))
        return False

    # Faults: each lasts for a random time and then reverts its effect.

    async def kill_node(self, seconds):
        node = self.disrupt_random_node("kill")
        if node is None:
            return
        node.signal(signal.SIGKILL)
        node.process.wait()
        await asyncio.sleep(seconds)
        node.start()
        node.end_disruption()

    async def stop_node(self, seconds):
        node = self.disrupt_random_node("stop")
        if node is None:
            return
        # Before the signal handlers are installed, SIGTERM ends the process by its default action;
        # it has no callers at that time.
        allowed = (0,) if await node.is_listening() else (0, -signal.SIGTERM)
        node.signal(signal.SIGTERM)
        end = time.monotonic() + GRACE_SECONDS + SLACK_SECONDS
        while node.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.05)
        if node.process.poll() not in allowed:
            self.failures.append("%s ended with %s after SIGTERM"
                                 % (node.name, node.process.poll()))
            node.kill()
        await asyncio.sleep(seconds / 4)
        node.start()
        node.end_disruption()

    async def pause_node(self, seconds):
        node = self.disrupt_random_node("pause")
        if node is None:
            return
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)
        node.end_disruption()

    async def disrupt_engine_connections(self, seconds):
        await self.disrupt_proxy(self.random.choice(self.engines).proxy, seconds)

    async def disrupt_store_connections(self, seconds):
        await self.disrupt_proxy(self.store_proxy, seconds)

    async def fail_engine(self, seconds):
        engine = self.random.choice(self.engines)
        engine.failing = True
        await asyncio.sleep(seconds)
        engine.failing = False

    async def confuse_engine(self, seconds):
        engine = self.random.choice(self.engines)
        engine.faulty = True
        await asyncio.sleep(seconds)
        engine.faulty = False

    async def remove_engine(self, seconds):
        engine = self.random.choice(self.engines)
        engine.proxy.mode = "refuse"
        engine.proxy.reset_connections()
        await asyncio.sleep(seconds / 2)
        await self.store.remove("servers/" + engine.name)
        await asyncio.sleep(seconds / 2)
        engine.proxy.mode = "pass"
        await self.register_engine(engine)

    async def leave_engine(self, seconds):
        """States the leaving in responses only: the entry says ready until the next start."""
        engine = self.random.choice(self.engines)
        if engine.leaving:
            return
        engine.leaving = True
        start = time.monotonic()
        await asyncio.sleep(seconds)
        await self.register_engine(engine)
        await asyncio.sleep(seconds)
        self.departures.append((engine, start, time.monotonic()))
        engine.leaving = False
        engine.born += 1
        await self.register_engine(engine)

    async def publish_configuration(self, _seconds):
        self.version += 1
        await self.store.put("op/config", configuration(self.version))

    async def evacuate_domain(self, seconds):
        domain = self.random.choice(DOMAINS)
        start = time.monotonic()
        await self.store.put("op/evacuate/" + domain, {})
        await asyncio.sleep(seconds * 2)
        self.evacuations.append((domain, start, time.monotonic()))
        await self.store.remove("op/evacuate/" + domain)

    FAULTS = (kill_node, stop_node, pause_node, disrupt_engine_connections,
              disrupt_engine_connections, disrupt_store_connections, fail_engine, confuse_engine,
              remove_engine, publish_configuration, evacuate_domain)

    async def overload_engine(self, seconds):
        engine = self.random.choice(self.engines)
        engine.paused_until = time.monotonic() + max(seconds, 0.5)

    STATEMENTS = {"leaving": leave_engine, "pauses": overload_engine}

    def disrupt_random_node(self, kind):
        free = [node for node in self.nodes if all(ended for _, _, ended in node.disruptions)]
        node = self.random.choice(free) if free else None
        if node is not None:
            node.begin_disruption(kind)
        return node

    async def disrupt_proxy(self, proxy, seconds):
        proxy.mode = self.random.choice(MODES[1:])
        proxy.delay = self.random.uniform(0.02, 0.5)
        if self.random.random() < 0.5:
            proxy.reset_connections()
        await asyncio.sleep(seconds)
        proxy.mode = "pass"
        # Dropped data cannot be recovered, so that the connections are unusable.
        proxy.reset_connections()

    async def run_faults(self, end):
        tasks = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.expovariate(FAULTS_PER_SECOND))
            fault = self.random.choice(self.faults)
            tasks.append(asyncio.create_task(fault(self, self.random.uniform(0.3, 3))))
        await asyncio.gather(*tasks)

    async def run(self):
        try:
            await self.run_scenario()
        finally:
            # Suppresses the errors of stand-in tasks that the end of the loop cancels.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
            self.kill_nodes()

    async def run_scenario(self):
        await self.start()
        if not await self.wait_for_version(RECOVERY_SECONDS):
            return
        callers = [Caller(number, self.nodes, self.outcomes, self.seed)
                   for number in range(CALLER_COUNT)]
        end = time.monotonic() + self.seconds
        sending = [asyncio.create_task(caller.run(end)) for caller in callers]
        await self.run_faults(end)
        await asyncio.gather(*sending)
        await self.wait_for_version(RECOVERY_SECONDS)
        await self.check_recovery()
        self.check_nodes()
        self.check_outcomes()
        self.check_runs()
        self.check_departures()
        self.check_pauses()

    async def check_recovery(self):
        for engine in self.engines:
            engine.breaks_off = False
        end = time.monotonic() + RECOVERY_SECONDS
        caller = Caller(CALLER_COUNT, self.nodes, [], self.seed)
        served = 0
        while served < RECOVERY_REQUESTS and time.monotonic() < end:
            outcome = await caller.send_one()
            succeeded = outcome is not None and outcome.status == 200 and outcome.complete
            served = served + 1 if succeeded else 0
            caller.disconnect()
        if served < RECOVERY_REQUESTS:
            self.failures.append("service not recovered %d s after the faults; last outcome: %r"
                                 % (RECOVERY_SECONDS, outcome))

    def check_nodes(self):
        for node in self.nodes:
            if node.process.poll() is not None:
                self.failures.append("%s exited unexpectedly with %s"
                                     % (node.name, node.process.poll()))

    def check_outcomes(self):
        for outcome in self.outcomes:
            ran = len(self.runs[outcome.attempt_id])
            span = outcome.start_time, outcome.end_time
            terminated = outcome.node.disrupted_between(*span, ("kill", "stop"))
            disrupted = terminated or outcome.node.disrupted_between(*span, ("pause",))
            limit = TIMEOUT_SECONDS[outcome.path] + SLACK_SECONDS
            if outcome.status is None and not terminated:
                self.fail("no response from a node that kept running", outcome)
            if not disrupted and outcome.end_time - outcome.start_time > limit:
                self.fail("response after the timeout of the route", outcome)
            if outcome.status == 503 and not outcome.sealed and ran:
                self.fail("refused as not executed, but ran %d times" % ran, outcome)
            if outcome.status == 200 and not outcome.sealed:
                self.fail("success without an engine's response seal", outcome)
            if outcome.status == 200 and outcome.ended and not outcome.complete:
                self.fail("incomplete success that ended as if it were complete", outcome)
            if outcome.status == 200 and outcome.sealed and not ran:
                self.fail("success of a request that did not run", outcome)
            if outcome.events != list(range(1, len(outcome.events) + 1)):
                self.fail("events are missing or duplicated", outcome)
            if outcome.path == "/once/x" and ran > 1:
                self.fail("ran %d times" % ran, outcome)
            if ran > MAX_ATTEMPTS:
                self.fail("ran %d times, allowed at most %d" % (ran, MAX_ATTEMPTS), outcome)

    def check_runs(self):
        starts = sorted(outcome.start_time for outcome in self.outcomes)
        retries = sorted(at for runs in self.runs.values() for _, at in runs[1:])
        for last in retries:
            count = sum(last - RETRY_WINDOW_SECONDS <= at <= last for at in retries)
            request_count = sum(last - RETRY_WINDOW_SECONDS <= at <= last for at in starts)
            if count > RETRY_RATIO * request_count + RETRY_EXTRA:
                self.failures.append("%d retries for %d requests" % (count, request_count))
                break
        for domain, start, end in self.evacuations:
            if any(node.disrupted_between(start, end, ("pause", "kill", "stop"))
                   for node in self.nodes):
                continue
            names = {engine.name for engine in self.engines if engine.domain == domain}
            late = [(name, at - start) for runs in self.runs.values() for name, at in runs
                    if name in names and start + EVACUATION_SECONDS < at < end]
            if late:
                self.failures.append("evacuated domain %s received new requests: %s"
                                     % (domain, late[:3]))

    def check_departures(self):
        sent = {outcome.attempt_id: outcome for outcome in self.outcomes}
        for engine, start, end in self.departures:
            for told in self.outcomes:
                if told.leaving_engine != engine.name or not start <= told.leaving_time < end:
                    continue
                self.statement_count += 1
                for attempt_id, at in engine.arrivals:
                    late = sent.get(attempt_id)
                    if (late is not None and late.node is told.node and at < end
                            and late.start_time > told.leaving_time + DRAIN_SECONDS
                            and not told.node.disrupted_between(told.leaving_time, at,
                                                                ("kill", "stop", "pause"))):
                        self.fail("reached %s %.3f s after %s had passed on its leaving"
                                  % (engine.name, at - told.leaving_time, told.node.name), late)
                        return

    def check_pauses(self):
        sent = {outcome.attempt_id: outcome for outcome in self.outcomes}
        for engine in self.engines:
            for attempt_id, told_at, end in engine.pauses:
                told = sent.get(attempt_id)
                if told is None:
                    continue
                self.pause_count += 1
                late = [at - told_at for other, at in engine.arrivals
                        if other in sent and sent[other].node is told.node
                        and told_at + PAUSE_SLACK_SECONDS < at < end]
                if (len(late) > PAUSE_REQUESTS and not told.node.disrupted_between(
                        told_at, end, ("kill", "stop", "pause"))):
                    self.fail("%s received %d requests of %s in a pause, after %s s"
                              % (engine.name, len(late), told.node.name, late[:3]), told)
                    return

    def fail(self, message, outcome):
        self.failures.append("%s: %r; ran at %s"
                             % (message, outcome, self.runs[outcome.attempt_id]))

    def summary(self):
        counts = {}
        for outcome in self.outcomes:
            counts[outcome.status] = counts.get(outcome.status, 0) + 1
        disruptions = sum(len(node.disruptions) for node in self.nodes)
        departures = (", %d departures stated in %d responses"
                      % (len(self.departures), self.statement_count) if self.departures else "")
        pauses = ", %d rejections with a pause" % self.pause_count if self.pause_count else ""
        ends = sum((engine.unframed_ends for engine in self.engines), collections.Counter())
        unframed = ", unframed responses %s" % dict(sorted(ends.items())) if ends else ""
        return "%d requests, by status %s, %d processes disturbed%s" % (
            len(self.outcomes), counts, disruptions, departures + pauses + unframed)

    def kill_nodes(self):
        for node in getattr(self, "nodes", []):
            if node.process is not None:
                node.kill()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--node", required=True, help="the comfreypass program")
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--nodes", type=int, default=NODE_COUNT)
    parser.add_argument("--statements", nargs="*", default=[], choices=Soak.STATEMENTS,
                        help="what engines state in their responses, in addition to the faults")
    parser.add_argument("--unframed", action="store_true",
                        help="half of the engines' responses end with their connection: whole, "
                        "closed before the body or inside an event, or reset")
    parser.add_argument("--keep-logs", default=None, help="folder for the nodes' logs")
    options = parser.parse_args()
    seed = options.seed if options.seed is not None else random.SystemRandom().randrange(10**9)
    with tempfile.TemporaryDirectory() as folder:
        if options.keep_logs:
            folder = options.keep_logs
            os.makedirs(folder, exist_ok=True)
        soak = Soak(options.node, seed, options.seconds, folder, options.nodes,
                    options.statements, options.unframed)
        asyncio.run(soak.run())
    print("seed %d: %s" % (seed, soak.summary()))
    for failure in soak.failures[:10]:
        print("seed %d: FAILED: %s" % (seed, failure))
    return 1 if soak.failures else 0


if __name__ == "__main__":
    sys.exit(main())
