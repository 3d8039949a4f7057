"""Guards against a second dispatch or a loss of service after a node was killed."""

import signal

import caller
from fleet import FleetTest, main, send_signal
from processes import wait_for


class KilledNodeTest(FleetTest):
    def test_repeated_requests_are_not_dispatched_after_kill(self):
        killed, second, third = self.fleet.nodes
        witnesses = self.fleet.witnesses(second)
        self.service.control(latency_ms=3000)
        stream = caller.Stream(killed.callers, "long summary", 500, key="summary-1",
                               witnesses=witnesses)
        stream.read_until(b"data: ")
        booking = caller.Background(lambda: caller.book(killed.callers, "slot-1", witnesses))
        wait_for(lambda: self.service.counters()["request_ids"], "the booking at the service")
        send_signal(killed, signal.SIGKILL)
        stream.read_to_end()
        self.assertFalse(stream.complete())
        self.assertNotIsInstance(booking.result(), caller.Response)

        def send_repeatedly(node, send):
            """Repeats the request until its outcome is not a temporary refusal before dispatch."""
            def settled():
                response = send(node)
                return response if response.json().get("outcome") != "not_run" else None
            return wait_for(settled, "a response other than not_run from " + node.name)

        for node in (second, third):
            response = send_repeatedly(node, lambda at: caller.chat(
                at.callers, "long summary", 500, key="summary-1", witnesses=witnesses))
            self.assert_problem(response, 409, "unknown", ["owned_by_other"])
            response = send_repeatedly(
                node, lambda at: caller.book(at.callers, "slot-1", witnesses))
            self.assert_problem(response, 409, "unknown", ["owned_by_other"])
        wait_for(lambda: self.service.counters()["booking_runs"].get("slot-1"), "the booking")
        self.assert_dispatched_once()
        self.assertEqual(self.engine.counters()["received"], 1)

        self.service.control(latency_ms=5)
        for node in (second, third):
            self.assert_served(node)
        new_witnesses = second.witnesses()
        wait_for(lambda: caller.book(third.callers, "slot-2", new_witnesses).status == 201,
                 "a booking")
        self.assert_dispatched_once()


if __name__ == "__main__":
    main()
