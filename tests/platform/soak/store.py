"""Stand-in for the platform's store: prefix queries and long polls over a revision history."""

import asyncio
import base64
import json
import urllib.parse

from http_io import encode, read_message

# Exceeds the number of changes in a run, so that no watch requests a discarded revision.
HISTORY_EVENTS = 100_000


class Store:
    def __init__(self):
        self.revision = 0
        self.records = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def put(self, key, document):
        async with self.changed:
            self.revision += 1
            value = base64.b64encode(json.dumps(document).encode()).decode()
            self.records[key] = {"Key": key, "Value": value, "Rev": self.revision}
            self.events.append(self.records[key])
            self.changed.notify_all()

    async def remove(self, key):
        async with self.changed:
            if self.records.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append({"Key": key, "Rev": self.revision, "Deleted": True})
            self.changed.notify_all()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                target = urllib.parse.urlsplit(request.start_line.split()[1])
                parameters = dict(urllib.parse.parse_qsl(target.query))
                response = await self._respond(target.path, parameters)
                body = json.dumps(response).encode()
                writer.write(encode("HTTP/1.1 200 OK", {"Content-Length": len(body)}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _respond(self, path, parameters):
        prefix = parameters["PathPrefix"]
        if path == "/api/kv-range":
            entries = [self.records[key] for key in sorted(self.records) if key.startswith(prefix)]
            return {"Entries": entries, "HasMore": False, "AsOf": self.revision}
        after = int(parameters["After"])

        def matching_events():
            return [event for event in self.events[-HISTORY_EVENTS:]
                    if event["Rev"] > after and event["Key"].startswith(prefix)]
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(matching_events),
                                       int(parameters["WaitMs"]) / 1e3)
            except asyncio.TimeoutError:
                pass
            return {"events": matching_events(), "AsOf": self.revision}
