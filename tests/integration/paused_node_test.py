"""Guards against dispatches under a permit or lease that expired while the process was paused."""

import signal
import time

import caller
from fleet import FleetTest, main, send_signal
from processes import wait_for

PAUSE_SECONDS = 6
# Shorter than the pause, so that a dispatch afterwards is late in any case.
DEADLINE_MS = 5000
REQUESTS = 8


class PausedNodeTest(FleetTest):
    def received_without_key(self):
        """Counts the engine's requests without a key, whose ids have 16 digits instead of 32."""
        return sum(len(key) == 16 for key in self.engine.counters()["request_ids"])

    def test_paused_node_sends_no_expired_dispatches(self):
        nodes = self.fleet.nodes
        # The scheduler is not paused, so that its grants reach the paused node's socket.
        paused, other = [node for node in nodes if "asesor-modelo" not in
                         node.state()["schedules"]][:2]
        witnesses = self.fleet.witnesses(other)
        # A token takes 40 ms. The other node's requests end one by one from 0.8 s on, so that the
        # burst waits and receives permits during the pause, before the lease expires.
        self.engine.control(slow=2)
        occupying = [caller.Background(lambda tokens=tokens: caller.chat(
            other.callers, "tags %d" % tokens, tokens, key="tags-%d" % tokens,
            witnesses=witnesses)) for tokens in range(20, 110, 10)]
        wait_for(lambda: other.state()["dispatches"] >= 5, "the other node's requests")
        burst = [caller.Background(lambda index=index: caller.chat(
            paused.callers, "summary %d" % index, 20, deadline_ms=DEADLINE_MS))
                 for index in range(REQUESTS)]
        wait_for(lambda: paused.state()["open_sessions"] >= REQUESTS
                 and paused.state()["pending_permits"] > 0, "the burst at the node")
        send_signal(paused, signal.SIGSTOP)
        try:
            # Requests that were sent before the pause reach the engine within this time.
            time.sleep(1)
            before = self.received_without_key()
            time.sleep(PAUSE_SECONDS - 1)
        finally:
            send_signal(paused, signal.SIGCONT)
        responses = [each.result() for each in burst]
        for each in occupying:
            self.assertIsInstance(each.result(), caller.Response)
        run_count = self.received_without_key()
        self.assertEqual(run_count, before,
                         "a request was dispatched after its deadline and permit had expired")
        for response in responses:
            self.assertIsInstance(response, caller.Response)
            if response.status != 200:
                self.assertIn(response.json()["outcome"], ("not_run", "unknown"))
        self.engine.control(slow=1)
        self.assertLess(run_count, REQUESTS)
        refused = sum(response.status != 200 and response.json()["outcome"] == "not_run"
                      for response in responses)
        self.assertLessEqual(refused, REQUESTS - run_count,
                             "a request that ran was reported as not_run")
        # More requests at once than the slots of generation g1 would mean that permits of two
        # schedulers were valid at the same time.
        self.assertLessEqual(self.engine.counters()["most_requests"], 8)
        for node in nodes:
            self.assert_served(node)
        self.assert_dispatched_once()


if __name__ == "__main__":
    main()
