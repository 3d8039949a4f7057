"""Guards against dispatches with rights that expired while the process was paused."""

import signal
import time

import caller
from fleet import FleetTest, main, send_signal
from processes import wait_for

PAUSE_SECONDS = 6
# Shorter than the pause, so that a dispatch afterwards is late in any case.
DEADLINE_MS = 5000
REQUESTS = 14


class PausedNodeTest(FleetTest):
    def test_pause(self):
        paused, second, third = self.fleet.nodes
        self.assert_served(paused)
        witnesses = self.fleet.witnesses(second)
        # A request runs for about 3 s, so that later ones wait for a permit during the pause.
        self.engine.control(slow=4)
        known = len(self.engine.counters()["request_ids"])
        burst = [caller.Background(lambda index=index: caller.chat(
            paused.callers, "summary %d" % index, 40, key="burst-%d" % index,
            witnesses=witnesses, deadline_ms=DEADLINE_MS)) for index in range(REQUESTS)]
        wait_for(lambda: len(self.engine.counters()["request_ids"]) > known
                 and paused.state()["open_sessions"] >= REQUESTS
                 and paused.state()["pending_permits"] > 0, "the burst at the node")
        send_signal(paused, signal.SIGSTOP)
        try:
            # Bytes that were written before the pause arrive within this time.
            time.sleep(1)
            dispatched = len(self.engine.counters()["request_ids"])
            time.sleep(PAUSE_SECONDS - 1)
        finally:
            send_signal(paused, signal.SIGCONT)
        answers = [each.result() for each in burst]
        self.assertEqual(len(self.engine.counters()["request_ids"]), dispatched,
                         "a request was dispatched after its deadline and permit had expired")
        for answer in answers:
            self.assertIsInstance(answer, caller.Answer)
            if answer.status != 200:
                self.assertIn(answer.json()["outcome"], ("not_run", "unknown"))
        self.engine.control(slow=1)
        ran = dispatched - known
        self.assertLess(ran, REQUESTS)
        refused = sum(answer.status != 200 and answer.json()["outcome"] == "not_run"
                      for answer in answers)
        self.assertLessEqual(refused, REQUESTS - ran, "not_run was said of a request that ran")
        # More than the slots of generation g1 at once would be two schedulers' permits together.
        self.assertLessEqual(self.engine.counters()["most_requests"], 8)
        for node in (paused, second, third):
            self.assert_served(node)
        self.assert_dispatched_once()


if __name__ == "__main__":
    main()
