"""Guards against an incomplete response that looks complete after its engine was killed."""

import json

import caller
from fleet import FleetTest, main
from processes import wait_for


class KilledEngineTest(FleetTest):
    # A proxy would accept connections for the stopped engine, so that a request that failed there
    # might have been sent and its outcome would be unknown instead of not_run.
    engines_proxied = False

    def test_killed_engine_ends_stream_with_error(self):
        node = self.fleet.nodes[0]
        stream = caller.Stream(node.callers, "long summary", 1000)
        stream.read_until(b"data: ")
        count_before = self.engine.counters()["received"]
        plain = caller.Background(lambda: caller.chat(self.fleet.nodes[1].callers, "other", 1000))
        wait_for(lambda: self.engine.counters()["received"] > count_before,
                 "the request at the engine")
        self.engine.process.kill()
        stream.read_to_end()
        self.assertFalse(stream.complete(), stream.received[-300:])
        self.assertNotIn("[DONE]", stream.events())
        self.assertIn(b"event: error", stream.received)
        problem = json.loads(stream.events()[-1])
        self.assertEqual((problem["outcome"], problem["reason"]), ("unknown", "upstream_failed"))
        self.assert_problem(plain.result(), 502, "unknown", ["upstream_failed"])
        for each in self.fleet.nodes:
            response = caller.chat(each.callers, "next", 3, deadline_ms=2000)
            self.assertEqual(response.json()["outcome"], "not_run", response)


if __name__ == "__main__":
    main()
