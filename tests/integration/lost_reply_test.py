"""Guards against a second run of a booking whose first reply was lost.

The service or the network drops the reply after the booking ran; callers then repeat the request.
"""

import caller
from fleet import FleetTest, main


class LostReplyTest(FleetTest):
    def assert_repeats_rejected(self, key, witnesses):
        for node in self.fleet.nodes + self.fleet.nodes:
            response = caller.book(node.callers, key, witnesses)
            self.assert_problem(response, 409, "unknown", ["already_dispatched", "owned_by_other"])
        self.assertEqual(self.service.counters()["booking_runs"][key], 1)
        self.assert_dispatched_once()

    def test_service_reply_loss_does_not_rerun_booking(self):
        first = self.fleet.nodes[0]
        witnesses = self.fleet.witnesses(first)
        self.service.control(lose_replies=1)
        response = caller.book(first.callers, "lost-1", witnesses)
        self.assert_problem(response, 502, "unknown", ["upstream_failed"])
        self.assertEqual(self.service.counters()["lost_replies"], 1)
        self.assert_repeats_rejected("lost-1", witnesses)

    def test_network_reset_does_not_rerun_booking(self):
        first = self.fleet.nodes[0]
        witnesses = self.fleet.witnesses(first)
        self.service.proxy("reset-after 1")
        response = caller.book(first.callers, "lost-2", witnesses)
        self.assert_problem(response, 502, "unknown", ["upstream_failed"])
        self.service.proxy("heal")
        self.assert_repeats_rejected("lost-2", witnesses)


if __name__ == "__main__":
    main()
