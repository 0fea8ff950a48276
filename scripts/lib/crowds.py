"""Crowds of hostile callers."""
import selectors
import socket
import time

SEND_TIMEOUT_S = 6
HOLD_S = 2
READ_BYTES = 65536


def connect(address):
    host, port = address.split(":")
    connection = socket.socket()
    connection.setblocking(False)
    connection.connect_ex((host, int(port)))
    return connection


class Crowd:
    """Connections that each send a text, without reading, and stay open. A connection whose text is endless sends the
    last piece again and again."""

    def __init__(self, address, texts, endless=b""):
        self.endless = endless
        self.selector = selectors.DefaultSelector()
        self.open = 0
        for text in texts:
            self.selector.register(connect(address), selectors.EVENT_WRITE | selectors.EVENT_READ, [memoryview(text)])
            self.open += 1

    def drop(self, key):
        self.selector.unregister(key.fileobj)
        key.fileobj.close()
        self.open -= 1

    def step(self, key, events):
        try:
            if events & selectors.EVENT_READ and not key.fileobj.recv(READ_BYTES):
                return self.drop(key)
            if events & selectors.EVENT_WRITE:
                left = key.data[0][key.fileobj.send(key.data[0]):] if key.data[0] else key.data[0]
                key.data[0] = left or memoryview(self.endless)
                if not key.data[0]:
                    self.selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
        except BlockingIOError:
            pass
        except OSError:
            self.drop(key)

    def is_sending(self):
        return any(key.events & selectors.EVENT_WRITE for key in self.selector.get_map().values())

    def run(self, sample, pause):
        """Sends everything, then holds the connections for a while."""
        end = time.monotonic() + SEND_TIMEOUT_S
        while self.open and self.is_sending() and time.monotonic() < end:
            self.advance(sample, pause)
        end = time.monotonic() + HOLD_S
        while time.monotonic() < end:
            self.advance(sample, pause)

    def advance(self, sample, pause):
        for key, events in self.selector.select(timeout=0.05):
            self.step(key, events)
        sample()
        time.sleep(pause)

    def close(self):
        for key in list(self.selector.get_map().values()):
            self.drop(key)
