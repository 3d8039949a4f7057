"""Guards against a graceful stop that interrupts open or new requests."""

import signal
import threading
import time

import caller
from fleet import ADDRESS_KEEP_MS, FleetTest, main, send_signal
from processes import WAIT_TIMEOUT_SECONDS, wait_for


class DrainTest(FleetTest):
    def test_drain_completes_requests_under_load(self):
        leaving, second = self.fleet.nodes[:2]
        reference = caller.content(caller.chat(self.engine.address, "permit", 20))
        long_reference = caller.content(caller.chat(self.engine.address, "hazards", 300))
        stop = threading.Event()
        responses = []
        streams = []

        def send_requests():
            while not stop.is_set():
                responses.append(caller.chat(leaving.callers, "permit", 20))

        def read_stream(stream):
            streams.append(stream)
            stream.read_to_end()

        load = [caller.Background(send_requests) for _ in range(2)]
        before = caller.Stream(leaving.callers, "hazards", 300)
        before.read_until(b"data: ")
        readers = [caller.Background(lambda: read_stream(before))]
        wait_for(lambda: len(responses) >= 4, "responses before the stop")
        send_signal(leaving, signal.SIGTERM)
        wait_for(lambda: leaving.state()["draining"], "the node to drain")
        during = caller.Stream(leaving.callers, "hazards", 300)
        readers.append(caller.Background(lambda: read_stream(during)))
        count_before = len(responses)
        # Callers may use an address response from just before the stop for this time.
        time.sleep(ADDRESS_KEEP_MS / 1000)
        stop.set()
        for thread in load + readers:
            self.assertIsNone(thread.result())

        self.assertGreater(len(responses), count_before)
        for response in responses:
            self.assertEqual(response.status, 200, response)
            self.assertEqual(caller.content(response), reference)
        self.assertEqual(len(streams), 2)
        for each in streams:
            self.assertTrue(each.complete(), each.received[-300:])
            self.assertEqual(each.text(), long_reference)
        names = {entry["node"] for entry in
                 caller.request(second.callers, "GET", "/v1/addresses").json()["addresses"]}
        self.assertNotIn(leaving.name, names)
        self.assertEqual(leaving.process.wait(WAIT_TIMEOUT_SECONDS), 0)
        self.assert_served(second)
        self.assert_dispatched_once()


if __name__ == "__main__":
    main()
