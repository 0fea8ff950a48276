"""Requests of callers as bytes, for tests that send what no well-behaved client would."""
import json

HOST = "jobs.example"
QUEUE_PATH = "/jobs/"


def job(specification="100 50", size=0, **step):
    """A job of one step, padded with spaces to the size. The arguments replace the fields of the step."""
    fields = {"count": 1, "cpu": 500, "memory_limit_mb": 64, "estimated_ms": 50, **step}
    body = json.dumps({"specification": specification, "best_effort": True, "steps": [fields]})
    return body.ljust(size).encode()


def head(number, *fields, path=QUEUE_PATH):
    return "\r\n".join([f"POST {path}{number:016x} HTTP/1.1", f"Host: {HOST}", *fields, "", ""]).encode()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def whole(number, body, *fields):
    return head(number, f"Content-Length: {len(body)}", *fields) + body


def chunked(number, body, chunk_bytes):
    pieces = [chunk(body[start:start + chunk_bytes]) for start in range(0, len(body), chunk_bytes)]
    return head(number, "Transfer-Encoding: chunked") + b"".join(pieces) + b"0\r\n\r\n"
