"""A caller hides a request in the body of another one, behind a transfer coding that isn't chunked."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import engines
import fleet
from fleet import TROUBLE

ZONES = ("sanjose-a", "heredia-b", "cartago-c", "alajuela-d")
CODINGS = ("identity", "chunked, identity", "gzip")
REPEATS = 4


async def scenario(case):
    await case.start_store()
    ran = []

    async def answer(engine, start_line, headers, body, writer):
        attempt = headers.get("comfreypass-attempt-id", "")
        ran.append((attempt, start_line, body))
        case.record.line("engine %s runs %s: %s, body %r" % (engine.id, attempt, start_line, body))
        await engines.answer_plain(engine, start_line, headers, body, writer)

    await case.store.put("op/config", fleet.configuration(
        7, [fleet.route("drill-slot-booking", "/booking/", "non_idempotent", "agenda-cuadrillas")],
        [{"Name": "agenda-cuadrillas", "MaxConns": 110, "ColdS": 0}],
        [{"Name": "tenant-a", "ApiKeys": ["key-a"], "Priority": 1}]))
    agenda = [engines.Engine(case, "a%d" % number, "agenda-cuadrillas", ZONES[number], 6, answer)
              for number in range(2)]
    for each in agenda:
        await each.start()
    nodes = case.add_nodes(2, ZONES)
    for each in nodes:
        each.start()
    await case.wait_ready(nodes)
    await asyncio.sleep(1.5)

    sent = {}
    for number, coding in enumerate(CODINGS * REPEATS):
        attempt, hidden = "outer-%02d" % number, "hidden-%02d" % number
        body = fleet.head("POST /booking/hidden HTTP/1.1",
                          [("Host", "caller.example"), ("Authorization", "Bearer key-a"),
                           ("Comfreypass-Attempt-Id", hidden)], b"")
        framed = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        sent[attempt] = body
        node = nodes[number % len(nodes)]
        used = coding if TROUBLE else "chunked"
        case.record.line("%s sent to %s with 'Transfer-Encoding: %s'; its body is the text of a "
                         "request with the id %s, which no caller sends" % (attempt, node.name, used,
                                                                           hidden))
        reader, writer = await asyncio.open_connection(node.address, node.PORTS["callers"])
        writer.write(fleet.head("POST /booking/x HTTP/1.1",
                                [("Host", "caller.example"), ("Authorization", "Bearer key-a"),
                                 ("Comfreypass-Attempt-Id", attempt),
                                 ("Comfreypass-Deadline-Ms", "1500"),
                                 ("Transfer-Encoding", used)]) + (body if TROUBLE else framed))
        received = b""
        try:
            while True:
                data = await asyncio.wait_for(reader.read(65536), 0.7)
                if not data:
                    break
                received += data
        except (asyncio.TimeoutError, ConnectionError):
            pass
        writer.close()
        lines = [line for line in received.split(b"\r\n") if line.startswith(b"HTTP/1.1")]
        case.record.line("%s answered: %r" % (attempt, lines))

    if any(not each.alive() for each in nodes):
        raise fleet.CannotRun("a gateway process has ended")
    breaches = []
    for attempt, start_line, body in ran:
        if attempt not in sent:
            breaches.append("an engine ran %s, which was smuggled inside another request" % attempt)
        elif body != sent[attempt]:
            breaches.append("an engine ran %s with %d bytes of body; the caller sent %d"
                            % (attempt, len(body), len(sent[attempt])))
    return breaches


fleet.run(__file__, scenario)
