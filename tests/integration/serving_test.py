"""Guards against faults that only show between real processes when nothing fails."""

import caller
from fleet import FleetTest, main


class ServingTest(FleetTest):
    def test_answers(self):
        reference = caller.content(caller.chat(self.engine.address, "survey of rack 7", 12))
        for node in self.fleet.nodes:
            answer = caller.chat(node.callers, "survey of rack 7", 12)
            self.assertEqual(answer.status, 200, answer)
            self.assertEqual(caller.content(answer), reference)

            stream = caller.Stream(node.callers, "survey of rack 7", 12)
            stream.read_to_end()
            self.assertTrue(stream.whole(), stream.received)
            self.assertEqual(stream.events()[-1], "[DONE]")
            self.assertEqual(stream.text(), reference)
        self.assert_dispatched_once()

    def test_booking(self):
        first, second = self.fleet.nodes[:2]
        witnesses = self.fleet.witnesses(first)
        answer = caller.book(first.callers, "slot-1", witnesses)
        self.assertEqual(answer.status, 201, answer)
        replay = caller.book(first.callers, "slot-1", witnesses)
        self.assertEqual((replay.status, replay.body), (201, answer.body))
        self.assertEqual(replay.headers["Comfreypass-Replayed"], "true")
        self.assert_problem(caller.book(second.callers, "slot-1", witnesses), 409, "unknown")
        self.assertEqual(self.service.counters()["booking_runs"], {"slot-1": 1})

        self.assert_problem(caller.book(first.callers, "slot-2", None), 428, "not_run")
        self.assert_problem(caller.book(first.callers, None, witnesses), 428, "not_run")
        self.assertEqual(self.service.counters()["bookings"], 1)

    def test_pages(self):
        names = {node.name for node in self.fleet.nodes}
        for node in self.fleet.nodes:
            answer = caller.request(node.callers, "GET", "/v1/addresses").json()
            self.assertEqual({entry["node"] for entry in answer["addresses"]}, names)
            self.assertGreater(answer["keep_ms"], 0)
            ready = caller.request(node.operators, "GET", "/readyz")
            self.assertEqual((ready.status, ready.body), (200, b"ready\n"))
            state = node.state()
            self.assertEqual(state["sheet"]["revision"], 20261)
            self.assertEqual({member["name"] for member in state["members"]}, names)


if __name__ == "__main__":
    main()
