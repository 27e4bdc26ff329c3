"""Callers and the operator of the soak. A caller asks for addresses, keeps the
answer for a while and its connection for as long as the router does."""

import asyncio
import json
import time
from urllib.parse import quote

import wire
from upstreams import EVENTS_PER_STREAM, STAMP

HOST = "soak.example"
DEADLINE_S = 4.0
ADDRESS_TTL_S = 1.0
PATHS = {"stream": "/stream/", "unsafe": "/unsafe/", "safe": "/safe/"}


class Caller:
    def __init__(self, world, fleet, team, key, number):
        self.world, self.fleet, self.team, self.key, self.number = world, fleet, team, key, number
        self.addresses, self.asked_at = [], 0.0
        self.connection, self.serial = None, 0

    async def run(self, until):
        while time.monotonic() < until:
            kind = self.world.random.choice(("stream", "unsafe", "unsafe", "safe"))
            await self.request(kind)
            await asyncio.sleep(self.world.random.uniform(0.0, 0.05))
        self.close()

    def close(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def resolve(self):
        if self.addresses and time.monotonic() < self.asked_at + ADDRESS_TTL_S:
            return
        for node in self.world.random.sample(self.fleet.nodes, 3):
            try:
                path = "/v1/resolve?name=%s&region=r&zone=%s" % (HOST, quote(node.domain))
                status, _, body = await wire.call(node.directory, "GET", path, timeout=1.0)
                found = json.loads(body).get("addresses", []) if status == 200 else []
            except (wire.Broken, ValueError):
                continue  # the next node is asked
            if found:
                self.addresses, self.asked_at = found, time.monotonic()
                return

    async def connect(self):
        """Uses the open connection, else one to an address drawn at random."""
        if self.connection:
            return
        await self.resolve()
        if not self.addresses:
            raise wire.Broken("no address")
        address = self.world.random.choice(self.addresses)
        host, port = address.rsplit(":", 1)
        try:
            pair = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        except (OSError, asyncio.TimeoutError):
            self.addresses = [a for a in self.addresses if a != address]
            raise wire.Broken("no connection to " + address) from None
        self.connection = (pair[0], pair[1], address)

    async def request(self, kind):
        self.serial += 1
        attempt = "c%d-%d" % (self.number, self.serial)
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": int(DEADLINE_S * 1000),
                   "Authorization": "Bearer " + self.key, "X-Kind": kind, "X-Team": self.team,
                   "X-Sent": "%.6f" % time.monotonic()}
        self.world.count("asked")
        try:
            await self.connect()
        except wire.Broken:
            self.world.count("no connection")
            await asyncio.sleep(0.1)
            return
        reader, writer, address = self.connection
        node = self.fleet.node_at(address)
        state = node.watch()
        try:
            writer.write(wire.request_bytes("POST", PATHS[kind] + "x", headers, attempt.encode()))
            status, answer, body = await asyncio.wait_for(self.read(reader), DEADLINE_S)
        except asyncio.TimeoutError:
            self.world.count("deadline")
            self.close()
            return
        except (wire.Broken, OSError):
            self.world.count("cut")
            self.close()
            self.check_cut(attempt, node, state)
            return
        self.world.count(str(status))
        self.check(attempt, kind, status, answer, body)
        if answer.get("connection", "").lower() == "close" or status >= 500:
            self.close()
        if status in (429, 503):
            await asyncio.sleep(min(1.0, float(answer.get("retry-after", 0.1))))

    async def read(self, reader):
        first, headers = await wire.read_head(reader)
        return int(first.split()[1]), headers, await wire.read_body(reader, headers)

    def check(self, attempt, kind, status, answer, body):
        if status in (408, 421, 429, 503):
            self.world.record_refusal(attempt, kind)
        elif status in (401, 403, 404) and self.team not in self.world.revoking:
            self.world.violate("DENIED", "%s of %s got %d" % (attempt, self.team, status))
        elif status == 200:
            self.check_success(attempt, kind, answer, body.decode(errors="replace"))

    def check_success(self, attempt, kind, answer, text):
        if answer.get("server-stamp") != STAMP or answer.get("attempt-id") != attempt:
            self.world.violate("MIXED", "%s got an answer of %r" % (attempt, answer.get("attempt-id")))
        if kind != "stream":
            if text != "done " + attempt:
                self.world.violate("MIXED", "%s got %r" % (attempt, text[:60]))
            return
        wanted = "".join("id: %d\ndata: %s %d\n\n" % (n, attempt, n)
                         for n in range(1, EVENTS_PER_STREAM + 1))
        if text != wanted:
            self.world.violate("ORDER", "%s got %r" % (attempt, text[-80:]))

    def check_cut(self, attempt, node, state):
        """A graceful stop cuts off no request that runs at a sound upstream. One
        that crossed the close and went to no upstream does not count."""
        passed_on = attempt in self.world.runs
        if passed_on and node.only_stopped(state) and not self.fleet.upstreams_faulty():
            self.world.violate("SHUTDOWN", "%s was cut off by %s, which was told to stop" %
                               (attempt, node.name))


class Operator:
    """Sends configurations with rising versions, takes keys away, and takes
    failure domains out of service and back."""

    def __init__(self, world, fleet, teams):
        self.world, self.fleet, self.teams = world, fleet, dict(teams)
        self.version = 0

    def document(self):
        def route(kind, wire_kind, service, **more):
            return dict({"name": kind, "host": HOST, "path_prefix": PATHS[kind], "kind": wire_kind,
                         "timeout_ms": 4000, "target_latency_ms": 1000, "priority": 1,
                         "service": service, "max_attempts": 2, "public": False}, **more)

        routes = [route("stream", "streaming", "model", resumable=True, gap_aim_ms=500),
                  route("unsafe", "unsafe", "ledger", max_attempts=3),
                  route("safe", "safe", "ledger")]
        services = [{"name": name, "health_path": "/health", "max_connections": 200,
                     "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
                    for name in ("model", "ledger")]
        tenants = [{"name": team, "api_keys": [key], "priority": 1}
                   for team, key in sorted(self.teams.items())]
        return {"version": self.version, "routes": routes, "services": services, "tenants": tenants,
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def order(self, method, path, body=b"", until=None):
        """Repeats an order at any node until it is acknowledged."""
        while until is None or time.monotonic() < until:
            node = self.world.random.choice(self.fleet.nodes)
            try:
                status, _, text = await wire.call(node.operator, method, path, body=body)
            except wire.Broken:
                status, text = 0, b""
            if 200 <= status < 300:
                return True
            if 400 <= status < 500:
                self.world.violate("ORDER_REFUSED", "%s %s got %d %r" % (method, path, status, text[:80]))
                return False
            await asyncio.sleep(0.1)
        return False

    async def configure(self, until=None):
        self.version += self.world.random.randint(1, 3)
        version = self.version
        acknowledged = await self.order("PUT", "/v1/config", json.dumps(self.document()).encode(), until)
        if acknowledged:
            self.world.record_ack(version)
            self.world.count("configurations")
        return acknowledged

    async def revoke(self, team, until):
        del self.teams[team]
        self.world.revoking.add(team)
        if await self.configure(until):
            self.world.revoked[team] = time.monotonic()
            self.world.count("revocations")

    async def evacuate(self, domain, seconds, until):
        if await self.order("POST", "/v1/evacuations/" + domain, until=until):
            self.world.evacuated[domain] = time.monotonic()
            self.world.count("evacuations")
            await asyncio.sleep(seconds)
        self.world.evacuated.pop(domain, None)
        await self.order("DELETE", "/v1/evacuations/" + domain)

    async def read_back(self, until):
        """Reads the configuration at any node all the time."""
        while time.monotonic() < until:
            await asyncio.sleep(self.world.random.uniform(0.05, 0.3))
            await self.read_once(self.world.random.choice(self.fleet.nodes))

    async def read_once(self, node):
        asked_at = time.monotonic()
        try:
            status, _, body = await wire.call(node.operator, "GET", "/v1/config", timeout=1.5)
        except wire.Broken:
            return False
        if status != 200:
            return False
        self.world.check_read(node.name, json.loads(body)["version"], asked_at)
        return True
