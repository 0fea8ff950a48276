"""Crowds of hostile callers."""
import heapq
import selectors
import socket
import threading
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


class ReturningCrowd(threading.Thread):
    """Callers that submit a job each, read the answer, and come back with another job shortly after it.

    The argument addresses has one address a caller; make_text makes the text of a numbered job. `replies` counts the
    answers by status, `refused` has the numbers of the jobs that were refused as not run."""

    RETURN_S = 0.2
    REFUSED = (429, 503)

    def __init__(self, addresses, make_text, first_number):
        super().__init__(daemon=True)
        self.make_text, self.next_number = make_text, first_number
        self.selector = selectors.DefaultSelector()
        self.returns = [(0.0, index, address) for index, address in enumerate(addresses)]
        self.stop_requested = threading.Event()
        self.replies, self.refused = {}, []

    def run(self):
        while not self.stop_requested.is_set():
            now = time.monotonic()
            while self.returns and self.returns[0][0] <= now:
                _, index, address = heapq.heappop(self.returns)
                self.submit(index, address)
            for key, events in self.selector.select(timeout=0.02):
                self.step(key, events)
        for key in list(self.selector.get_map().values()):
            self.selector.unregister(key.fileobj)
            key.fileobj.close()

    def submit(self, index, address):
        number = self.next_number
        self.next_number += 1
        state = {"index": index, "address": address, "number": number, "left": memoryview(self.make_text(number))}
        self.selector.register(connect(address), selectors.EVENT_WRITE | selectors.EVENT_READ, state)

    def step(self, key, events):
        try:
            if events & selectors.EVENT_READ:
                return self.finish(key, key.fileobj.recv(READ_BYTES))
            if events & selectors.EVENT_WRITE:
                key.data["left"] = key.data["left"][key.fileobj.send(key.data["left"]):]
                if not key.data["left"]:
                    self.selector.modify(key.fileobj, selectors.EVENT_READ, key.data)
        except BlockingIOError:
            pass
        except OSError:
            self.finish(key, b"")
        return None

    def finish(self, key, reply):
        words = reply.split(b" ", 2)
        status = int(words[1]) if len(words) > 1 and words[1].isdigit() else 0
        self.replies[status] = self.replies.get(status, 0) + 1
        if status in self.REFUSED:
            self.refused.append(key.data["number"])
        self.selector.unregister(key.fileobj)
        key.fileobj.close()
        heapq.heappush(self.returns, (time.monotonic() + self.RETURN_S, key.data["index"], key.data["address"]))

    def stop(self):
        self.stop_requested.set()
        self.join()
