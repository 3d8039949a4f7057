"""Measures the latency that a node adds to a request, by sending the same requests directly and through a node.

Both kinds alternate in one run, each on a new connection. The service responds after a fixed latency, so the
difference is due to the node: parsing, permit, second connection and relay, and with --keyed also the claim at
three witnesses.
"""

import argparse
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tests", "integration"))

import caller  # noqa: E402
import fleet as fleets  # noqa: E402


def time_request(address, path, headers):
    start = time.perf_counter()
    response = caller.request(address, "GET", path, headers=headers)
    assert response.status == 200, response
    return (time.perf_counter() - start) * 1000


def percentile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("node", "standin", "proxy", "sheet"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--requests", type=int, default=1000)
    parser.add_argument("--keyed", action="store_true")
    fleets.PROGRAMS = arguments = parser.parse_args()

    fleet = fleets.Fleet(nodes=3, engines=1, engines_proxied=False)
    try:
        # Both paths use the same proxy, so that the difference is due to the node alone.
        service = fleet.service.used_address
        node = fleet.nodes[0]
        witnesses = fleet.witnesses(node)
        direct, relayed = [], []
        for number in range(arguments.requests):
            direct.append(time_request(service, "/slots", {}))
            key = "lookup-%d" % number if arguments.keyed else None
            headers = caller.caller_headers("cuadrillas", key, witnesses if key else None)
            relayed.append(time_request(node.callers, "/services/agenda-cuadrillas/slots", headers))
        print("milliseconds     p50     p95     p99")
        for name, values in (("direct", direct), ("through node", relayed)):
            print("%-12s %7.2f %7.2f %7.2f" % ((name,) + tuple(
                percentile(values, fraction) for fraction in (0.5, 0.95, 0.99))))
        print("%-12s %7.2f %7.2f %7.2f" % (("difference",) + tuple(
            percentile(relayed, fraction) - percentile(direct, fraction) for fraction in (0.5, 0.95, 0.99))))
    finally:
        fleet.processes.end_all()
        fleet.folder.cleanup()


if __name__ == "__main__":
    main()
