"""Upstreams that send broken answers to real routers, and raw callers that look at each
byte that they get: on the platform's interface and on the product's own."""

import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import threading

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
import gateway_fleet as gateway  # noqa: E402

NET = 95  # loopback network of the gateway's fleet
PORT_BASE, UPSTREAM_PORT = 26000, 26900  # of the product's own interface
DEADLINE_S = 3
PROMISES_NOTHING = re.compile(rb"HTTP/1\.1 50[24] [^\r\n]*\r\n")
UPLOAD = b"x" * 1000000
WINDOW_BYTES = 4096  # so that the upload is not buffered whole
BAD, GOOD = b"bad", b"good"
LENGTH = b"Content-Length: 3\r\n"

# Name: status line, fields, bytes behind the fields, whether an upload is reset.
CASES = {
    "status-000": (b"HTTP/1.1 000 X", LENGTH, BAD, False),
    "status-000-then-answer": (b"HTTP/1.1 000 X", LENGTH,
                               BAD + b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood", False),
    "status-999": (b"HTTP/1.1 999 X", LENGTH, BAD, False),
    "blank-in-name": (b"HTTP/1.1 200 OK", b"My Name: bad\r\n" + LENGTH, BAD, False),
    "blank-before-name": (b"HTTP/1.1 200 OK", b" Name: bad\r\n" + LENGTH, BAD, False),
    "blank-in-length": (b"HTTP/1.1 200 OK", b"Content Length: 3\r\n", BAD + b"more", False),
    "control-byte-in-name": (b"HTTP/1.1 200 OK", b"A\x01B: bad\r\n" + LENGTH, BAD, False),
    "early-reset": (b"HTTP/1.1 200 OK", b"", BAD, True),
    "early-reset-no-body": (b"HTTP/1.1 200 OK", b"", b"", True),
}


class Upstream:
    """Answers `/.../CASE` by its bytes and everything else in order."""

    def __init__(self, address):
        host, port = address.split(":")
        self.address, self.requests = address, 0
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        self.listener.bind((host, int(port)))
        self.listener.listen(64)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection = self.listener.accept()[0]
            except OSError:
                return  # stopped
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection:
            try:
                while self.answer(connection, read_head(connection)):
                    pass
            except OSError:
                pass  # closed by the router

    def answer(self, connection, head):
        """Returns whether the connection goes on."""
        if not head:
            return False
        lines = head.decode("latin1").split("\r\n")
        target = lines[0].split(" ")[1]
        fields = {name.lower(): value for name, _, value in
                  (line.partition(": ") for line in lines[1:])}
        known = "".join("%s: %s\r\n" % (name, fields[name]) for name in
                        ("attempt-id", "x-request-id") if name in fields)
        known = known.encode() + b"Server-Stamp: s\r\n"
        case = CASES.get(target.rsplit("/", 1)[1])
        if case is None:
            connection.sendall(b"HTTP/1.1 200 OK\r\n" + known +
                               b"Content-Length: 4\r\n\r\n" + GOOD)
            return True
        self.requests += 1
        status, more, body, reset = case
        connection.sendall(status + b"\r\n" + known + more + b"\r\n" + body)
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        return False

    def stop(self):
        self.listener.close()


class ListedUpstream(Upstream):
    """An upstream in the platform's list."""

    def __init__(self, address):
        super().__init__(address)
        self.server = self  # what the fleet stops

    def entry(self):
        return {"service": "s", "address": self.address, "zone": "a", "version": "v1",
                "slots": 16, "state": "ready", "cold_remaining_ms": 0, "id": "w-1"}


def read_head(connection):
    """Bytes up to the empty line, or nothing if the connection ends before it."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = connection.recv(1)
        if not byte:
            return b""
        head += byte
    return head[:-4]


def call(address, method, path, headers, body=b""):
    """All bytes that a caller gets for one request."""
    host, port = address.split(":")
    fields = dict(headers, **{"Content-Length": str(len(body)), "Connection": "close"})
    head = "%s %s HTTP/1.1\r\n%s\r\n" % (
        method, path, "".join("%s: %s\r\n" % field for field in fields.items()))
    got = b""
    with socket.create_connection((host, int(port)), timeout=DEADLINE_S + 10) as connection:
        connection.sendall(head.encode() + body)
        while True:
            piece = connection.recv(65536)
            if not piece:
                return got
            got += piece


def check_case(upstream, send, name):
    """`send(method, path, body)` returns what a caller gets. Returns the failures."""
    failures = []
    for method in ("POST", "GET"):  # may run once, may be repeated
        fleets.wait_for(lambda: GOOD in send(method, "sound", b""), 30, "a sound answer")
        before = upstream.requests
        got = send(method, name, UPLOAD if CASES[name][3] else b"")
        wrong = [] if PROMISES_NOTHING.match(got) else ["neither 502 nor 504"]
        wrong += ["bytes of the broken answer"] if BAD in got or GOOD in got else []
        wrong += [] if upstream.requests == before + 1 else ["not run once"]
        if wrong:
            failures.append("%s %s: %s: %r" % (method, name, ", ".join(wrong), got[:300]))
    return failures


def platform_interface():
    fleet = gateway.GatewayFleet(NET, 1)
    try:
        upstream = ListedUpstream("%s:%d" % (fleet.ip(210), fleet.base + 21))
        fleet.list.workers.append(upstream)
        fleet.configure(["s"], [
            {"name": "POST", "path_prefix": "/POST/", "kind": "unsafe", "service": "s"},
            {"name": "GET", "path_prefix": "/GET/", "kind": "safe", "service": "s"}])
        fleet.wait_ready()
        numbers = iter(range(1, 1000000))

        def send(method, case, body):
            return call(fleet.front(0), method, "/%s/%s" % (method, case),
                        {"Host": gateway.HOST, "Attempt-Id": "a%d" % next(numbers),
                         "Deadline-Ms": str(DEADLINE_S * 1000)}, body)
        return [failure for name in CASES for failure in check_case(upstream, send, name)]
    finally:
        fleet.close()


def own_resources(addresses):
    """A service with one upstream for each case, since a failure keeps requests away from
    an upstream for a while."""
    routes = [{"method": "POST", "path_prefix": "/POST", "idempotent": False},
              {"method": "GET", "path_prefix": "/GET", "idempotent": True}]
    found = [
        {"kind": "failure_domain", "name": "a", "spec": {"region": "r", "state": "in"}},
        {"kind": "team", "name": "t",
         "spec": {"weight": 1, "api_key_hashes": [fleets.sha256("key")],
                  "services": list(addresses), "queue_length": 100,
                  "body_bytes": len(UPLOAD)}}]
    for name, address in addresses.items():
        found.append({"kind": "service", "name": name,
                      "spec": {"kind": "plain", "routes": routes,
                               "deadline_ms": DEADLINE_S * 1000, "first_limit": 4,
                               "growth": 1.5}})
        found.append({"kind": "upstream", "name": "u-" + name,
                      "spec": {"address": address, "failure_domain": "a", "services": [name],
                               "max_concurrent": 4, "state": "in"}})
    return found


def own_interface():
    addresses = {name: "127.0.0.1:%d" % (UPSTREAM_PORT + i) for i, name in enumerate(CASES)}
    upstreams = {name: Upstream(address) for name, address in addresses.items()}
    resources = own_resources(addresses)
    run_dir = tempfile.mkdtemp(prefix="arbutus-broken-answers-")
    fleet = fleets.Fleet("kereru", run_dir, routers=1, voters=1, port_base=PORT_BASE,
                         resources=resources)
    failures = []
    try:
        fleet.start_nodes()
        fleet.apply(resources)
        fleet.wait_ready()
        for name, upstream in upstreams.items():
            def send(method, path, body, name=name):
                return call(fleet.http_address(1), method,
                            "/services/%s/%s/%s" % (name, method, path),
                            {"Host": "h", "Authorization": "Bearer key"}, body)
            failures += check_case(upstream, send, name)
        return failures
    finally:
        fleet.stop()
        for upstream in upstreams.values():
            upstream.stop()
        shutil.rmtree(run_dir, ignore_errors=True)


def main():
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped by a signal"))
    failed = 0
    for interface in (platform_interface, own_interface):
        failures = interface()
        for failure in failures:
            print("FAIL %s %s" % (interface.__name__, failure))
        print("%s: %d of %d cases failed" % (interface.__name__, len(failures), 2 * len(CASES)))
        sys.stdout.flush()
        failed += len(failures)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
