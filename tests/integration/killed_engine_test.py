"""Guards against incomplete answers that look whole."""

import json

import caller
from fleet import FleetTest, main
from processes import wait_for


class KilledEngineTest(FleetTest):
    # A proxy would accept connections for the dead engine, so that bytes might have been sent.
    engines_proxied = False

    def test_killed_in_stream(self):
        node = self.fleet.nodes[0]
        stream = caller.Stream(node.callers, "long summary", 1000)
        stream.read_until(b"data: ")
        known = self.engine.counters()["received"]
        whole = caller.Background(lambda: caller.chat(self.fleet.nodes[1].callers, "other", 1000))
        wait_for(lambda: self.engine.counters()["received"] > known, "the request at the engine")
        self.engine.process.kill()
        stream.read_to_end()
        self.assertFalse(stream.whole(), stream.received[-300:])
        self.assertNotIn("[DONE]", stream.events())
        self.assertIn(b"event: error", stream.received)
        problem = json.loads(stream.events()[-1])
        self.assertEqual((problem["outcome"], problem["reason"]), ("unknown", "upstream_failed"))
        self.assert_problem(whole.result(), 502, "unknown", ["upstream_failed"])
        for each in self.fleet.nodes:
            answer = caller.chat(each.callers, "next", 3, deadline_ms=2000)
            self.assertEqual(answer.json()["outcome"], "not_run", answer)


if __name__ == "__main__":
    main()
