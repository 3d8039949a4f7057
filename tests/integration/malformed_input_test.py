"""Guards against malformed input that stops a node or disturbs other requests there."""

import errno
import random
import socket

import caller
from fleet import FleetTest, main


class MalformedInputTest(FleetTest):
    def send_bytes(self, node, data):
        """Sends bytes and returns all bytes received until the connection ends."""
        host, port = node.callers.split(":")
        received = b""
        with socket.create_connection((host, int(port)),
                                      timeout=caller.REQUEST_TIMEOUT_SECONDS) as connection:
            try:
                connection.sendall(data)
                self.close_sending(connection)
                while chunk := connection.recv(65536):
                    received += chunk
            except (ConnectionResetError, BrokenPipeError):
                pass
        return received

    def close_sending(self, connection):
        """Half-closes a connection that the node may have refused and closed in the meantime."""
        try:
            connection.shutdown(socket.SHUT_WR)
        except OSError as error:
            # A reset has arrived; what the node sent before it can still be read.
            if error.errno != errno.ENOTCONN:
                raise

    def assert_refused(self, received):
        """Asserts that the node closed the connection or responded with a 4xx status."""
        if received:
            self.assertRegex(received, rb"^HTTP/1\.1 4\d\d ")

    def test_malformed_input_does_not_disturb_other_requests(self):
        node = self.fleet.nodes[0]
        reference = caller.content(caller.chat(self.engine.address, "hazards", 300))
        stream = caller.Stream(node.callers, "hazards", 300)
        stream.read_until(b"data: ")
        host, port = node.callers.split(":")
        partial_head = socket.create_connection((host, int(port)))
        self.addCleanup(partial_head.close)
        partial_head.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
        partial_body = socket.create_connection((host, int(port)))
        self.addCleanup(partial_body.close)
        partial_body.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                          b"Authorization: Bearer demo-levantamientos\r\n"
                          b"Content-Length: 500\r\n\r\n{\"model\"")

        generator = random.Random(7)
        for _ in range(20):
            self.assert_refused(self.send_bytes(node, generator.randbytes(2000)))
        self.assert_refused(self.send_bytes(
            node, b"GET /v1/addresses HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * 200_000
            + b"\r\n\r\n"))
        response = caller.chat(node.callers, "x" * 3_000_000, 3)
        self.assert_problem(response, 413, "not_run", ["body_too_large"])

        stream.read_to_end()
        self.assertTrue(stream.complete())
        self.assertEqual(stream.text(), reference)
        for each in self.fleet.nodes:
            self.assert_served(each)
            self.assertIsNone(each.process.poll())
        self.assertEqual(self.engine.counters()["failed"], 0)


if __name__ == "__main__":
    main()
