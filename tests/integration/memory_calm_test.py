"""Guards against limits that refuse bodies inside the limits while the node is not loaded."""

import asyncio

from memory_crowd import (CALLER_PORT, CHUNK_BYTES, MAX_BODY_BYTES, Crowd, chunk, chunked_head, main,
                          read_message, sized_head)

BODIES_AT_ONCE = 3


class Calm(Crowd):
    async def check(self, node):
        if not await self.is_answered(node, 30):
            return ["the node was not ready"]
        sized = sized_head(MAX_BODY_BYTES) + b"x" * MAX_BODY_BYTES
        chunked = chunked_head() + chunk(CHUNK_BYTES) * (MAX_BODY_BYTES // CHUNK_BYTES) + b"0\r\n\r\n"
        failures = []
        for message in (sized, chunked):
            statuses = await asyncio.gather(*(self.request(node, message)
                                              for _ in range(BODIES_AT_ONCE)))
            failures += [status for status in statuses if " 200 " not in status]
        return failures

    @staticmethod
    async def request(node, message):
        reader, writer = await asyncio.open_connection(node.address, CALLER_PORT)
        writer.write(message.replace(b"Host: h", b"Host: h\r\nComfreypass-Attempt-Id: calm"))
        response = await asyncio.wait_for(read_message(reader), 30)
        writer.close()
        return "%s %s" % (response.start_line, response.body)


if __name__ == "__main__":
    main(b"", b"", 0, Calm)
