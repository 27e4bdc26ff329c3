"""Stand-ins for the upstreams and for the platform's list of them. They record
every run, so that the checks see what upstreams see, and misbehave on demand."""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

EVENTS_PER_STREAM = 12
FIRST_EVENT_S = 0.03
EVENT_S = 0.03
PLAIN_RUN_S = 0.04
STAMP = "soak"


class Upstream:
    """One upstream. `mode` is what it does wrong: "" (nothing), "dark" (reads
    and answers nothing), "errors", "cut" (breaks answers off), "extra" (sends
    a second answer)."""

    def __init__(self, world, name, service, domain, ip, port, slots):
        self.world, self.service, self.domain = world, service, domain
        self.base, self.ip, self.port, self.slots = name, ip, port, slots
        self.life, self.mode, self.draining = 0, "", False
        self.running, self.writers, self.server = 0, set(), None

    @property
    def id(self):
        return "%s-%d" % (self.base, self.life)

    def entry(self):
        return {"id": self.id, "service": self.service, "address": "%s:%d" % (self.ip, self.port),
                "zone": self.domain, "version": "v1", "slots": self.slots,
                "state": "draining" if self.draining else "ready", "cold_remaining_ms": 0,
                "born": 1000 + self.life}

    async def start(self):
        self.life += 1
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(self.serve, self.ip, self.port)
                break
            except OSError:
                await asyncio.sleep(0.05)  # connections of the former life still close
        self.mode, self.draining = "", False

    async def crash(self):
        """Resets every connection and stops listening."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await wire.read_head(reader)
                body = await wire.read_body(reader, headers)
                while self.mode == "dark":
                    await asyncio.sleep(0.05)
                if not await self.answer(first.split()[0], headers, body, writer):
                    return
        except (wire.Broken, OSError, asyncio.CancelledError):
            return  # the caller has left; an aborted stream is recorded as such
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, headers, body, writer):
        """Answers one request; false if the connection ends with it."""
        attempt = headers.get("attempt-id", "")
        base = {"Attempt-Id": attempt}
        if headers.get("expect-instance") != self.id:
            writer.write(wire.answer_bytes(421, dict(base, **{"Instance-Id": self.id})))
            return True
        if self.running >= 2 * self.slots:
            writer.write(wire.answer_bytes(503, dict(base, **{"Not-Executed": "1"})))
            return True
        self.running += 1
        run = self.world.record_run(self, attempt, method, headers, body)
        try:
            if self.mode == "errors" and self.world.random.random() < 0.5:
                writer.write(wire.answer_bytes(500, dict(base, **{"Server-Stamp": STAMP}), b"failed"))
                return True
            if headers.get("x-kind") == "stream":
                return await self.stream(attempt, headers, writer, base)
            await asyncio.sleep(PLAIN_RUN_S)
            if self.mode == "cut" and self.world.random.random() < 0.3:
                writer.transport.abort()
                return False
            signed = dict(base, **{"Server-Stamp": STAMP})
            writer.write(wire.answer_bytes(200, signed, b"done " + attempt.encode()))
            if self.mode == "extra" and self.world.random.random() < 0.3:
                stray = {"Attempt-Id": "of-another-request", "Server-Stamp": STAMP}
                writer.write(wire.answer_bytes(200, stray, b"done of-another-request"))
            await writer.drain()
            return True
        finally:
            self.running -= 1
            run["ended"] = time.monotonic()

    async def stream(self, attempt, headers, writer, base):
        lines = ["HTTP/1.1 200 OK", "Server-Stamp: " + STAMP, "Content-Type: text/event-stream",
                 "Transfer-Encoding: chunked"] + ["%s: %s" % item for item in base.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await asyncio.sleep(FIRST_EVENT_S)
        for number in range(int(headers.get("last-event-id", 0)) + 1, EVENTS_PER_STREAM + 1):
            while self.mode == "dark":
                await asyncio.sleep(0.05)
            event = ("id: %d\ndata: %s %d\n\n" % (number, attempt, number)).encode()
            if self.mode == "cut" and self.world.random.random() < 0.1:
                writer.write(b"%x\r\n" % len(event) + event[: len(event) // 2])
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class InstanceList:
    """The platform's list of upstreams, in pages, with entries that no reader
    understands between them."""

    PAGE = 4

    def __init__(self, upstreams, address):
        self.upstreams, self.address, self.server = upstreams, address, None

    async def start(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await wire.read_head(reader)
                await wire.read_body(reader, headers)
                query = parse_qs(urlsplit(first.split()[1]).query)
                start = int(query.get("page_token", ["0"])[0])
                entries = [u.entry() for u in self.upstreams] + [{"id": 7}, "nonsense"]
                following = start + self.PAGE
                page = {"instances": entries[start:following],
                        "next": str(following) if following < len(entries) else None}
                writer.write(wire.answer_bytes(200, {"Content-Type": "application/json"},
                                               json.dumps(page).encode()))
        except (wire.Broken, OSError, asyncio.CancelledError):
            return  # the reader closed its connection
        finally:
            writer.close()
