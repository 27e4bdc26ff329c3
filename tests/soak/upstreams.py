"""Simulated upstreams and a simulated platform API that lists them. Upstreams
record every execution for the checks and inject faults on demand."""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

EVENTS_PER_STREAM = 12
FIRST_EVENT_DELAY_S = 0.03
EVENT_INTERVAL_S = 0.03
EXECUTION_S = 0.04
SERVER_STAMP = "soak"
PAUSE_S = 1.5  # Retry-After of an upstream that is full
RESTART_S = 1.0


class Upstream:
    """One upstream. `mode` is its fault: "" (none), "dark" (sends no responses),
    "errors" (some responses have status 500), "cut" (resets some connections during
    a response), "extra" (sends an unrequested second response), "endless"
    (sends bytes that are no response until the router closes the connection),
    "full" (refuses requests and names a time for which it wants none). While it
    drains, all its responses say so. It crashes on requests with
    `recorder.crash_segment`."""

    def __init__(self, recorder, name, service, domain, ip, port, slots):
        self.recorder, self.service, self.domain = recorder, service, domain
        self.name, self.ip, self.port, self.slots = name, ip, port, slots
        self.incarnation, self.mode, self.draining = 0, "", False
        self.running, self.writers, self.server = 0, set(), None

    @property
    def id(self):
        return "%s-%d" % (self.name, self.incarnation)

    def entry(self):
        return {"id": self.id, "service": self.service, "address": "%s:%d" % (self.ip, self.port),
                "zone": self.domain, "version": "v1", "slots": self.slots,
                "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0,
                "born": 1000 + self.incarnation}

    async def start(self):
        self.incarnation += 1
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(self.serve, self.ip, self.port)
                break
            except OSError:
                await asyncio.sleep(0.05)  # connections of the previous incarnation still hold the port
        self.mode, self.draining = "", False

    async def crash(self):
        """Resets every connection and stops listening."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def crash_and_restart(self):
        if self.mode == "crashed":
            return
        self.mode = "crashed"
        await self.crash()
        await asyncio.sleep(RESTART_S)
        await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start_line, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                while self.mode == "dark":
                    await asyncio.sleep(0.05)
                if not await self.respond(start_line.split()[0], headers, body, writer):
                    return
        except (wire.ProtocolError, OSError, asyncio.CancelledError):
            return  # the router closed the connection
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, method, headers, body, writer):
        """Sends the response to one request; returns false if the connection was reset."""
        attempt_id = headers.get("attempt-id", "")
        id_headers = {"Attempt-Id": attempt_id, "X-Upstream": self.id}
        if self.draining:
            id_headers["Server-Leaving"] = "1"
        self.recorder.record_arrival(self.id, attempt_id)
        if headers.get("expect-instance") != self.id:
            writer.write(wire.response_bytes(421, dict(id_headers, **{"Instance-Id": self.id})))
            return True
        if self.running >= 2 * self.slots:
            writer.write(wire.response_bytes(503, dict(id_headers, **{"Not-Executed": "1"})))
            return True
        if self.mode == "full":
            self.recorder.record_pause(self.id, attempt_id, PAUSE_S)
            writer.write(wire.response_bytes(
                503, dict(id_headers, **{"Not-Executed": "1", "Retry-After": PAUSE_S})))
            return True
        self.running += 1
        execution = self.recorder.record_execution(self, attempt_id, method, headers, body)
        try:
            if self.recorder.crashes_upstreams(headers):
                self.recorder.record_crash()
                asyncio.ensure_future(self.crash_and_restart())
                return False
            if self.mode == "errors" and self.recorder.random.random() < 0.5:
                writer.write(wire.response_bytes(
                    500, dict(id_headers, **{"Server-Stamp": SERVER_STAMP}), b"failed"))
                return True
            if self.mode == "endless" and self.recorder.random.random() < 0.3:
                await self.send_without_end(writer)
                return False
            if headers.get("x-kind") == "stream":
                return await self.stream(attempt_id, headers, writer, id_headers)
            await asyncio.sleep(EXECUTION_S)
            if self.mode == "cut" and self.recorder.random.random() < 0.3:
                writer.transport.abort()
                return False
            stamped_headers = dict(id_headers, **{"Server-Stamp": SERVER_STAMP})
            writer.write(wire.response_bytes(200, stamped_headers, b"done " + attempt_id.encode()))
            if self.mode == "extra" and self.recorder.random.random() < 0.3:
                unrelated_headers = {"Attempt-Id": "of-another-request", "Server-Stamp": SERVER_STAMP}
                writer.write(wire.response_bytes(200, unrelated_headers, b"done of-another-request"))
            await writer.drain()
            return True
        finally:
            self.running -= 1
            execution["ended"] = time.monotonic()

    async def send_without_end(self, writer):
        """Sends bytes in a head or a body until the router closes the connection."""
        head = "HTTP/1.1 200 OK\r\nServer-Stamp: %s\r\n" % SERVER_STAMP
        writer.write((head + self.recorder.random.choice(("X-Endless: ", "\r\n"))).encode())
        while not writer.transport.is_closing():
            writer.write(b"x" * 16000)
            await writer.drain()
            await asyncio.sleep(0)

    async def stream(self, attempt_id, headers, writer, id_headers):
        lines = ["HTTP/1.1 200 OK", "Server-Stamp: " + SERVER_STAMP, "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"] + ["%s: %s" % item for item in id_headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await asyncio.sleep(FIRST_EVENT_DELAY_S)
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS_PER_STREAM + 1):
            while self.mode == "dark":
                await asyncio.sleep(0.05)
            event = ("id: %d\ndata: %s %d\n\n" % (number, attempt_id, number)).encode()
            if self.mode == "cut" and self.recorder.random.random() < 0.1:
                writer.write(b"%x\r\n" % len(event) + event[: len(event) // 2])
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class InstanceList:
    """The platform API that lists the upstreams in pages. The last entries are
    invalid; a reader must skip them."""

    PAGE_SIZE = 4

    def __init__(self, upstreams, address):
        self.upstreams, self.address, self.server = upstreams, address, None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                start_line, headers = await wire.read_head(reader)
                await wire.read_body(reader, headers)
                query = parse_qs(urlsplit(start_line.split()[1]).query)
                start = int(query.get("page_token", ["0"])[0])
                entries = [u.entry() for u in self.upstreams] + [{"id": 7}, "nonsense"]
                next_start = start + self.PAGE_SIZE
                page = {"instances": entries[start:next_start],
                        "next": str(next_start) if next_start < len(entries) else None}
                writer.write(wire.response_bytes(200, {"Content-Type": "application/json"},
                                               json.dumps(page).encode()))
        except (wire.ProtocolError, OSError, asyncio.CancelledError):
            return  # the reader closed the connection
        finally:
            writer.close()
