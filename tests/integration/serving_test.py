"""Guards against faults of normal operation that appear only between real processes."""

import caller
from fleet import FleetTest, main


class ServingTest(FleetTest):
    def test_all_nodes_serve_engine_responses(self):
        reference = caller.content(caller.chat(self.engine.address, "survey of rack 7", 12))
        for node in self.fleet.nodes:
            response = caller.chat(node.callers, "survey of rack 7", 12)
            self.assertEqual(response.status, 200, response)
            self.assertEqual(caller.content(response), reference)

            stream = caller.Stream(node.callers, "survey of rack 7", 12)
            stream.read_to_end()
            self.assertTrue(stream.complete(), stream.received)
            self.assertEqual(stream.events()[-1], "[DONE]")
            self.assertEqual(stream.text(), reference)
        self.assert_dispatched_once()

    def test_booking_runs_once(self):
        first, second = self.fleet.nodes[:2]
        witnesses = self.fleet.witnesses(first)
        response = caller.book(first.callers, "slot-1", witnesses)
        self.assertEqual(response.status, 201, response)
        replay = caller.book(first.callers, "slot-1", witnesses)
        self.assertEqual((replay.status, replay.body), (201, response.body))
        self.assertEqual(replay.headers["Comfreypass-Replayed"], "true")
        self.assert_problem(caller.book(second.callers, "slot-1", witnesses), 409, "unknown")
        self.assertEqual(self.service.counters()["booking_runs"], {"slot-1": 1})

        self.assert_problem(caller.book(first.callers, "slot-2", None), 428, "not_run")
        self.assert_problem(caller.book(first.callers, None, witnesses), 428, "not_run")
        self.assertEqual(self.service.counters()["bookings"], 1)

    def test_status_pages_list_all_nodes(self):
        names = {node.name for node in self.fleet.nodes}
        for node in self.fleet.nodes:
            response = caller.request(node.callers, "GET", "/v1/addresses").json()
            self.assertEqual({entry["node"] for entry in response["addresses"]}, names)
            self.assertGreater(response["keep_ms"], 0)
            ready = caller.request(node.operators, "GET", "/readyz")
            self.assertEqual((ready.status, ready.body), (200, b"ready\n"))
            state = node.state()
            self.assertEqual(state["sheet"]["revision"], 20261)
            self.assertEqual({member["name"] for member in state["members"]}, names)


if __name__ == "__main__":
    main()
