"""A loopback proxy that delays or drops data and resets or refuses connections.

Like a network, it never closes a connection in order after data was lost or the other side reset.
"""

import asyncio
import socket
import struct

MODES = ("pass", "delay", "drop_to_target", "drop_from_target", "refuse")
READ_BYTES = 65_536


class Proxy:
    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.delay = 0.0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    def reset_connections(self):
        """Resets the open connections, as after a process crash."""
        for writer in list(self.writers):
            abort_connection(writer)

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            abort_connection(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port)
        except OSError:
            abort_connection(writer)
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self._copy(reader, target_writer, "drop_to_target"),
                                 self._copy(target_reader, writer, "drop_from_target"))
        finally:
            for each in (writer, target_writer):
                self.writers.discard(each)
                each.close()

    async def _copy(self, reader, writer, drop_mode):
        lost = False
        try:
            while data := await reader.read(READ_BYTES):
                if self.mode == "delay":
                    await asyncio.sleep(self.delay)
                lost = lost or self.mode == drop_mode
                if not lost:
                    writer.write(data)
                    await writer.drain()
            if lost:
                abort_connection(writer)
            else:
                writer.close()
        except (ConnectionError, OSError):
            abort_connection(writer)


def abort_connection(writer):
    if writer.is_closing():
        return
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
