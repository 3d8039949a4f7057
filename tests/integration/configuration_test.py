"""Guards against nodes that lose the sheet or stop serving while the configuration service is down.

Nodes must keep the latest revision, and a node that starts meanwhile must get it from its peers.
"""

import time

import caller
from fleet import DOMAINS, FleetTest, Node, main
from processes import wait_for

# The confirmation age from which the service's last response no longer permits dispatches.
CONFIRMATION_SECONDS = 4


class ConfigurationTest(FleetTest):
    engines = 2

    def assert_domain_unused(self, nodes):
        excluded, other = self.fleet.engines[0], self.fleet.engines[1]
        before = excluded.counters()["received"], other.counters()["received"]
        for index in range(4):
            for node in nodes:
                self.assert_served(node, "label %d" % index)
        self.assertEqual(excluded.counters()["received"], before[0])
        self.assertGreater(other.counters()["received"], before[1])

    def test_sheet_stays_active_without_service(self):
        nodes = list(self.fleet.nodes)
        for index in range(8):
            self.assert_served(nodes[index % 3], "tag %d" % index)
        self.assertGreater(self.fleet.engines[0].counters()["received"], 0)
        # The booking engine is in the same domain, but this test sends no bookings.
        revision = self.fleet.publish_next_sheet(
            '"%s": {"region": "central-valley", "state": "in"}' % DOMAINS[0],
            '"%s": {"region": "central-valley", "state": "out"}' % DOMAINS[0])
        wait_for(lambda: all(node.state()["sheet"]["revision"] == revision for node in nodes),
                 "the new revision at every node")
        self.assert_domain_unused(nodes)

        response = caller.post_json(self.fleet.configuration, "/control", {"mode": "down"})
        self.assertEqual(response.status, 200)
        time.sleep(CONFIRMATION_SECONDS + 1)
        self.assert_domain_unused(nodes)

        added = Node("entry-4", DOMAINS[3])
        self.fleet.nodes.append(added)
        self.fleet.publish_instances()
        self.fleet.start_node(added)
        wait_for(added.ready, "the added node to become ready")
        self.assertEqual(added.state()["sheet"]["revision"], revision)
        self.assert_domain_unused(nodes + [added])
        self.assert_dispatched_once()


if __name__ == "__main__":
    main()
