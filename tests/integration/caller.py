"""HTTP requests of callers, operators and test controllers."""

import http.client
import json
import socket
import threading

REQUEST_TIMEOUT_SECONDS = 60


class Response:
    """Status, headers and body of a complete response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def __repr__(self):
        return "%d %r" % (self.status, self.body[:300])


def request(address, method, path, body=None, headers=None):
    """Sends a request on a new connection; raises OSError or HTTPException without a response."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, body, headers or {})
        received = connection.getresponse()
        return Response(received.status, received.headers, received.read())
    finally:
        connection.close()


def post_json(address, path, document):
    return request(address, "POST", path, json.dumps(document),
                   {"Content-Type": "application/json"})


def caller_headers(team, key=None, witnesses=None, deadline_ms=None):
    headers = {"Authorization": "Bearer demo-" + team, "Content-Type": "application/json"}
    if key is not None:
        headers["Idempotency-Key"] = key
    if witnesses is not None:
        headers["Comfreypass-Witnesses"] = witnesses
    if deadline_ms is not None:
        headers["Comfreypass-Deadline-Ms"] = str(deadline_ms)
    return headers


def chat_body(prompt, tokens, stream=False):
    return json.dumps({"model": "asesor-14b", "max_tokens": tokens, "stream": stream,
                       "messages": [{"role": "user", "content": prompt}]})


def chat(address, prompt, tokens, team="levantamientos", **identity):
    return request(address, "POST", "/v1/chat/completions", chat_body(prompt, tokens),
                   caller_headers(team, **identity))


def book(address, key, witnesses, deadline_ms=None):
    return request(address, "POST", "/services/agenda-cuadrillas/bookings", "{}",
                   caller_headers("cuadrillas", key, witnesses, deadline_ms))


def content(response):
    return response.json()["choices"][0]["message"]["content"]


class Stream:
    """A streamed chat request on a plain socket, so that tests see how the connection ends."""

    def __init__(self, address, prompt, tokens, team="levantamientos", **identity):
        host, port = address.split(":")
        body = chat_body(prompt, tokens, stream=True).encode()
        headers = caller_headers(team, **identity)
        headers.update({"Host": address, "Content-Length": str(len(body))})
        head = "POST /v1/chat/completions HTTP/1.1\r\n"
        head += "".join("%s: %s\r\n" % item for item in headers.items()) + "\r\n"
        self.received = b""
        self.reset = False
        self._socket = socket.create_connection((host, int(port)), timeout=REQUEST_TIMEOUT_SECONDS)
        self._socket.sendall(head.encode() + body)

    def read_once(self):
        """Reads once and returns False at the end of the connection."""
        try:
            data = self._socket.recv(65536)
        except ConnectionResetError:
            self.reset = True
            data = b""
        self.received += data
        return bool(data)

    def read_until(self, text):
        while text not in self.received:
            if not self.read_once():
                raise AssertionError("connection ended before %r: %r"
                                     % (text, self.received[-500:]))

    def read_to_end(self):
        while not self.complete() and self.read_once():
            pass
        self.close()

    def close(self):
        self._socket.close()

    def complete(self):
        """Returns whether the last chunk of the body has arrived."""
        return self.received.endswith(b"\r\n0\r\n\r\n")

    def events(self):
        """Returns the data of the events received so far."""
        _, _, rest = self.received.partition(b"\r\n\r\n")
        body = b""
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            if not size.strip():
                break
            length = int(size, 16)
            body += rest[:length]
            rest = rest[length + 2:]
        return [line[len("data: "):] for line in body.decode().splitlines()
                if line.startswith("data: ")]

    def text(self):
        text = ""
        for event in self.events():
            if event == "[DONE]":
                continue
            for choice in json.loads(event).get("choices", []):
                text += choice.get("delta", {}).get("content") or ""
        return text


class Background(threading.Thread):
    """Runs a call in a thread; result() returns its return value or its exception."""

    def __init__(self, call):
        super().__init__(daemon=True)
        self._call = call
        self._result = None
        self.start()

    def run(self):
        try:
            self._result = self._call()
        except (OSError, http.client.HTTPException) as error:
            self._result = error

    def result(self):
        self.join(2 * REQUEST_TIMEOUT_SECONDS)
        if self.is_alive():
            raise AssertionError("a background request did not finish in time")
        return self._result
