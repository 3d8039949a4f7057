"""Clients that nobody controls: each opens a channel and sends a body piece by piece.

Usage: crowd.py IP PORT COUNT SECONDS HEAD PIECE INTERVAL. HEAD and PIECE are sent as they are given,
with \\r and \\n written as escapes; PIECE may be empty: then a client sends its head and stays open.
A client whose channel ends comes again after a second. Prints how often that was on each second.
"""

import random
import select
import socket
import sys
import time

RETURN_SECONDS = 1.0
OPENED_AT_ONCE = 20


def unescape(text):
    return text.encode().decode("unicode_escape").encode("latin-1")


def main():
    ip, port, count, seconds = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])
    head, piece, interval = unescape(sys.argv[5]), unescape(sys.argv[6]), float(sys.argv[7])
    end = time.monotonic() + seconds
    clients = {}
    # Times at which a client may connect, with the number of the client.
    waiting = [(0.0, number) for number in range(count)]
    poller = select.epoll()
    ended = 0
    next_report = time.monotonic() + 1

    def close(descriptor, now):
        nonlocal ended
        client, number, _, _ = clients.pop(descriptor)
        poller.unregister(descriptor)
        client.close()
        ended += 1
        waiting.append((now + RETURN_SECONDS, number))

    while time.monotonic() < end:
        now = time.monotonic()
        due = [each for each in waiting if each[0] <= now][:OPENED_AT_ONCE]
        for each in due:
            waiting.remove(each)
            number = each[1]
            client = socket.socket()
            client.bind(("127.9.%d.%d" % (1 + number // 100, 1 + number % 100), 0))
            client.setblocking(False)
            try:
                client.connect((ip, port))
            except BlockingIOError:
                pass
            clients[client.fileno()] = [client, number, False, 0.0]
            poller.register(client.fileno(), select.EPOLLIN | select.EPOLLOUT)
        for descriptor, events in poller.poll(0.005, 1024):
            if descriptor not in clients:
                continue
            client = clients[descriptor][0]
            if events & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
                # An answer before the end of the body is a refusal.
                close(descriptor, now)
            elif events & select.EPOLLOUT and not clients[descriptor][2]:
                clients[descriptor][2:] = [True, now + random.uniform(0, interval or 1)]
                client.send(head.replace(b"NUMBER", b"%d" % random.randrange(10 ** 9)))
                poller.modify(descriptor, select.EPOLLIN)
        now = time.monotonic()
        for descriptor, (client, _, open_, next_piece) in list(clients.items()):
            if piece and open_ and next_piece <= now:
                clients[descriptor][3] = now + interval
                try:
                    client.send(piece)
                except BlockingIOError:
                    pass
                except OSError:
                    close(descriptor, now)
        if now >= next_report:
            next_report = now + 1
            print("%d clients open, %d channels ended so far" % (len(clients), ended), flush=True)


main()
