"""Starts and stops the processes of an integration test."""

import signal
import socket
import subprocess
import time

WAIT_TIMEOUT_SECONDS = 40


def wait_for(condition, description, timeout=WAIT_TIMEOUT_SECONDS):
    """Returns the first true value of condition(); fails after `timeout` seconds."""
    end = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise AssertionError("timed out after %s s waiting for: %s" % (timeout, description))
        time.sleep(0.1)


class PortReservation:
    """
    A free loopback port, bound until release(). Another process can listen on it, since this socket
    does not listen and both set SO_REUSEADDR, but no process gets it as a free port. A connection
    is refused while no process listens.
    """

    def __init__(self):
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    def release(self):
        self._socket.close()


class Processes:
    """Child processes, each stopped through its own handle."""

    def __init__(self):
        self._processes = []

    def start(self, command, log):
        process = subprocess.Popen(command, stdout=subprocess.PIPE if log is None else log,
                                   stderr=subprocess.STDOUT if log is not None else None,
                                   text=True)
        self._processes.append(process)
        return process

    def start_listening(self, command):
        """Starts a program and returns it and its first output line, which names its addresses."""
        process = self.start(command, None)
        line = process.stdout.readline()
        if "listening on" not in line:
            raise AssertionError("%s did not report its listening address: %s" % (command, line))
        return process, line

    def stop_all(self):
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
