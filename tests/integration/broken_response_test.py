"""Guards against a broken response of an engine that reaches a caller as a response."""

import socket
import threading

import caller
from fleet import FleetTest, main
from processes import wait_for

DEADLINE_MS = 5000
BODY = b'{"choices": [{"message": {"content": "upstream"}}]}'
STATUSES = [b"000", b"001", b"099", b"101", b"600", b"999", b"20", b"2000"]
JSON = b"Content-Type: application/json\r\n"


def with_length(body, fields=JSON, status=b"200"):
    return (b"HTTP/1.1 %s Status\r\n%sContent-Length: %d\r\n\r\n%s"
            % (status, fields, len(body), body))


def in_chunks(body, fields=JSON, status=b"200"):
    return (b"HTTP/1.1 %s Status\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
            % (status, fields, len(body), body))


class ScriptedUpstream:
    """An engine that sends the same bytes in response to each request but a load report."""

    def __init__(self):
        self.response = b""
        self.requests = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection:
            try:
                while self._serve_request(connection):
                    pass
            except OSError:
                pass

    def _serve_request(self, connection):
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(1024)
            if not data:
                return False
            received += data
        if received.startswith(b"GET /load "):
            connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        self.requests += 1
        head, _, body = received.partition(b"\r\n\r\n")
        length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                      if line.lower().startswith(b"content-length:"))
        while len(body) < length:
            data = connection.recv(65536)
            if not data:
                return False
            body += data
        connection.sendall(self.response)
        # The connection stays open, as that of an engine does that has not noticed its fault.
        return bool(connection.recv(1))


class BrokenResponseTest(FleetTest):
    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.upstream = ScriptedUpstream()
        self.addCleanup(self.upstream.stop)
        for each in (self.engine, self.service):
            each.published_address = self.upstream.address
        self.fleet.publish_instances()
        self.witnesses = self.fleet.witnesses(self.node)
        self.keys = 0
        self.upstream.response = with_length(BODY)
        for send in (self.chat, self.book):
            wait_for(lambda send=send: send().body == BODY, "the scripted upstream")

    def chat(self):
        return caller.chat(self.node.callers, "broken", 3, deadline_ms=DEADLINE_MS)

    def book(self):
        self.keys += 1
        return caller.request(self.node.callers, "POST", "/services/agenda-cuadrillas/bookings",
                              "{}", caller.caller_headers("cuadrillas", "broken-%d" % self.keys,
                                                          self.witnesses, DEADLINE_MS))

    def assert_failure(self, response_bytes):
        """Asserts that no caller gets these bytes, and that none is told "not run"."""
        self.upstream.response = response_bytes
        for send in (self.chat, self.book):
            requests = self.upstream.requests
            response = send()
            self.assertEqual(self.upstream.requests, requests + 1, response_bytes)
            self.assert_problem(response, 502, "unknown", ["upstream_failed"])
            self.assertNotIn(b"upstream\"", response.body)

    def test_status_outside_of_http_is_a_failure(self):
        for status in STATUSES:
            self.assert_failure(with_length(BODY, status=status))
            self.assert_failure(in_chunks(BODY, status=status))
            self.assert_failure(with_length(b"", status=status) + with_length(BODY))


if __name__ == "__main__":
    main()
