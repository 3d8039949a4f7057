"""Measures what control costs a node of an idle fleet of real processes on loopback.

For each fleet size: control bytes and messages per second and node, processor time, resident memory, and
the time until a changed sheet is in force on every node. Prints a table; --json writes the rows.
"""

import argparse
import json
import os
import re
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "tests", "integration"))

import caller  # noqa: E402
import fleet as fleets  # noqa: E402
from processes import wait_for  # noqa: E402

WINDOW_SECONDS = 10
SETTLE_SECONDS = 12
START_LIMIT_SECONDS = 120


def process_seconds(process):
    with open("/proc/%d/stat" % process.pid, encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_megabytes(process):
    with open("/proc/%d/status" % process.pid, encoding="ascii") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024


def control_totals(node):
    """Returns the control messages and bytes, sent and received, since the start of the node."""
    text = caller.request(node.operators, "GET", "/metrics").body
    text = text.decode() if isinstance(text, bytes) else text

    def total(name):
        pattern = r"^comfreypass_control_%s_total\{[^}]*\} (\S+)$" % name
        return sum(float(value) for value in re.findall(pattern, text, re.MULTILINE))
    return total("messages"), total("bytes")


def alive_members(node):
    return sum(member["state"] == "alive" for member in node.state()["members"])


def propagation_seconds(fleet):
    """Returns the time from the publication of a changed sheet until every node has applied it."""
    begin = time.monotonic()
    revision = fleet.publish_next_sheet('"small_request_tokens": 600',
                                        '"small_request_tokens": 601')
    pending = list(fleet.nodes)
    while pending:
        pending = [node for node in pending if node.state()["sheet"]["revision"] != revision]
        if time.monotonic() - begin > START_LIMIT_SECONDS:
            raise AssertionError("the sheet did not reach every node")
    return time.monotonic() - begin


def measure(size):
    fleet = fleets.Fleet(nodes=3, engines=1, engines_proxied=False)
    try:
        for index in range(3, size):
            domain = fleets.DOMAINS[index % len(fleets.DOMAINS)]
            fleet.nodes.append(fleets.Node("entry-%d" % (index + 1), domain))
        fleet.publish_instances()
        for node in fleet.nodes[3:]:
            fleet.start_node(node)
        wait_for(lambda: all(node.ready() and alive_members(node) == size for node in fleet.nodes),
                 "a common view", START_LIMIT_SECONDS)
        time.sleep(SETTLE_SECONDS)
        before = [(control_totals(node), process_seconds(node.process)) for node in fleet.nodes]
        time.sleep(WINDOW_SECONDS)
        after = [(control_totals(node), process_seconds(node.process)) for node in fleet.nodes]
        rates = [tuple(value / WINDOW_SECONDS for value in
                       (new[0][0] - old[0][0], new[0][1] - old[0][1], new[1] - old[1]))
                 for old, new in zip(before, after)]
        row = {
            "nodes": size,
            "messages_per_second": sum(rate[0] for rate in rates) / size,
            "bytes_per_second": sum(rate[1] for rate in rates) / size,
            "most_bytes_per_second": max(rate[1] for rate in rates),
            "core_percent": 100 * sum(rate[2] for rate in rates) / size,
            "most_core_percent": 100 * max(rate[2] for rate in rates),
            "resident_mb": max(resident_megabytes(node.process) for node in fleet.nodes),
        }
        row["sheet_spread_s"] = propagation_seconds(fleet)
        return row
    finally:
        fleet.processes.end_all()
        fleet.folder.cleanup()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--node", required=True)
    parser.add_argument("--standin", required=True)
    parser.add_argument("--proxy", required=True)
    parser.add_argument("--sheet", required=True)
    parser.add_argument("--sizes", default="4,8,16,32")
    parser.add_argument("--json")
    fleets.PROGRAMS = arguments = parser.parse_args()

    rows = []
    for size in arguments.sizes.split(","):
        rows.append(measure(int(size)))
        if len(rows) == 1:
            print("  ".join(rows[0]))
        print("  ".join("%*.2f" % (len(name), value) for name, value in rows[-1].items()),
              flush=True)
    if arguments.json:
        with open(arguments.json, "w", encoding="utf-8") as file:
            json.dump(rows, file, indent=1)
            file.write("\n")


if __name__ == "__main__":
    main()
