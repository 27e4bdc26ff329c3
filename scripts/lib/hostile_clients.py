"""Crowds of clients that send large bodies to one real router and stop short of their
end. Guards against a router that runs out of memory or descriptors, or stops
answering. Checks nothing that depends on the speed of the machine."""

import os
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_fleet as gateway  # noqa: E402
from fleet import wait_for  # noqa: E402

NET = 43
KIB = 1 << 10
MIB = 1 << 20
# The VM of the router. The crowds would need more than it has.
MEMORY_MB = 64
DESCRIPTORS = 400
CROWD = 24
BODY_BYTES = 4 * MIB
# Ten bytes are left out of a body that stops short of its end.
MISSING = 10
TINY_CROWD = 24
TINY_BODY_BYTES = 512 * KIB
TINY_CHUNK = 2
OVER_CROWD = 4
OVER_BYTES = 60 * MIB
SEND_DEADLINE_S = 60
LIMITS = "memory_mb = %d\ndescriptors = %d\nkilled_after_seconds = 8" % (MEMORY_MB, DESCRIPTORS)


def head(listener, framing):
    path = {"requests": "/s/upload", "operators": "/v1/config",
            "http": "/api/v1/team/x"}[listener]
    method = "POST" if listener == "requests" else "PUT"
    return ("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: crowd\r\nDeadline-Ms: 8000\r\n%s\r\n\r\n"
            % (method, path, gateway.HOST, framing)).encode()


def with_length(announced, sent):
    """A body that announces its length."""
    def parts(listener):
        yield head(listener, "Content-Length: %d" % announced)
        block = b"x" * (64 * KIB)
        left = sent
        while left > 0:
            yield block[:left]
            left -= len(block)
    return parts


def in_chunks(size, total, complete=False):
    """A chunked body; without its last chunk unless it is complete."""
    def parts(listener):
        yield head(listener, "Transfer-Encoding: chunked")
        chunk = b"%x\r\n" % size + b"x" * size + b"\r\n"
        block = chunk * max(1, (64 * KIB) // len(chunk))
        per_block = (len(block) // len(chunk)) * size
        for _ in range(total // per_block):
            yield block
        if complete:
            yield b"0\r\n\r\n"
    return parts


class Client:
    """One connection of a crowd. Sends until all is sent or the router closes it, and
    stays open."""

    def __init__(self, address, parts):
        host, port = address.split(":")
        self.socket = socket.create_connection((host, int(port)), timeout=SEND_DEADLINE_S)
        self.thread = threading.Thread(target=self.send, args=(parts,), daemon=True)
        self.thread.start()

    def send(self, parts):
        try:
            for part in parts:
                self.socket.sendall(part)
        except OSError:
            pass  # closed by the router, which is allowed

    def close(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


CROWDS = {
    "stopped short": [(CROWD, with_length(BODY_BYTES, BODY_BYTES - MISSING))],
    "whole": [(CROWD, with_length(BODY_BYTES, BODY_BYTES))],
    "chunked, large": [(CROWD, in_chunks(64 * KIB, BODY_BYTES - 64 * KIB))],
    "chunked, whole": [(CROWD, in_chunks(64 * KIB, BODY_BYTES, True))],
    "chunked, tiny": [(TINY_CROWD, in_chunks(TINY_CHUNK, TINY_BODY_BYTES))],
    "over the limit, announced": [(OVER_CROWD, with_length(OVER_BYTES, OVER_BYTES - MISSING))],
    "over the limit, sent": [(OVER_CROWD, in_chunks(64 * KIB, OVER_BYTES))],
}
CROWDS["all at once"] = [group for groups in list(CROWDS.values()) for group in groups]


def status_kib(pid, field):
    with open("/proc/%d/status" % pid) as lines:
        return next(int(line.split()[1]) for line in lines if line.startswith(field + ":"))


def descriptors(pid):
    return len(os.listdir("/proc/%d/fd" % pid))


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def ordinary(fleet, body=b"small"):
    """True once an ordinary request is answered; a refusal may be repeated."""
    status, _, _ = gateway.call(
        fleet.front(0), "POST", "/s/ordinary", body,
        {"Host": gateway.HOST, "Attempt-Id": "ordinary-%d" % time.monotonic_ns(),
         "Deadline-Ms": "8000"})
    return status == 200


def run_case(listener, crowd):
    """Returns the failures of one crowd at one listener of a router of its own."""
    fleet = gateway.GatewayFleet(NET, 1, LIMITS)
    failures = []
    try:
        fleet.add_worker("s", "v1", lambda worker, path, running: (200, b"ok", 0.05))
        fleet.configure(["s"], [{"name": "r", "path_prefix": "/s/", "kind": "safe",
                                 "service": "s"}], BODY_BYTES)
        fleet.wait_ready()
        wait_for(lambda: ordinary(fleet), 60, "the first answer")
        process = fleet.processes[0]
        before = status_kib(process.pid, "VmRSS")
        clients = [Client(fleet.listener(0, listener), parts(listener))
                   for count, parts in CROWDS[crowd] for _ in range(count)]
        for client in clients:
            client.thread.join(SEND_DEADLINE_S)
        open_at_peak = descriptors(process.pid) if process.poll() is None else 0
        try:
            wait_for(lambda: ordinary(fleet), 60, "an ordinary answer beside the crowd")
        except TimeoutError as error:
            failures.append(str(error))
        for client in clients:
            client.close()
        if process.poll() is not None:
            return failures + ["the process ended: %s" % process.returncode]
        peak = status_kib(process.pid, "VmHWM")
        if peak > MEMORY_MB * 1000:
            failures.append("%d KiB of memory, the VM has %d MB" % (peak, MEMORY_MB))
        if open_at_peak > DESCRIPTORS:
            failures.append("%d descriptors of %d" % (open_at_peak, DESCRIPTORS))
        try:
            wait_for(lambda: ordinary(fleet, b"x" * BODY_BYTES), 60,
                     "an answer to one large body in calm")
        except TimeoutError as error:
            failures.append(str(error))
        print("%-10s %-26s before %6d KiB, peak %6d, after %6d, descriptors %d" % (
            listener, crowd, before, peak, status_kib(process.pid, "VmRSS"), open_at_peak))
        return failures
    finally:
        fleet.close()


def main():
    chosen = sys.argv[1:]
    failed = 0
    for listener in ("requests", "operators", "http"):
        for crowd in CROWDS:
            name = "%s: %s" % (listener, crowd)
            if chosen and name not in chosen:
                continue
            failures = run_case(listener, crowd)
            for failure in failures:
                print("FAIL %s: %s" % (name, failure))
            failed += 1 if failures else 0
            sys.stdout.flush()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
