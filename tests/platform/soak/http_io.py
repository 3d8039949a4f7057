"""Reads and writes HTTP/1.1 messages on asyncio streams."""


class Message:
    """Start line, headers (lower-case names) and body of a request or a response."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Returns (start line, headers); raises IncompleteReadError if the peer closes early."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body; raises IncompleteReadError if the connection closes early."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_message(reader):
    """Reads one complete message."""
    start_line, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = b""
    return Message(start_line, headers, body)


def encode(start_line, headers, body=b""):
    lines = [start_line] + ["%s: %s" % field for field in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
