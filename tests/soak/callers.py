"""Callers and the operator of the soak test. A caller resolves router addresses,
caches them for ADDRESS_TTL_S and keeps its connection open until the router
closes it."""

import asyncio
import json
import time
from urllib.parse import quote

import wire
from upstreams import EVENTS_PER_STREAM, SERVER_STAMP
from world import Request

HOST = "soak.example"
DEADLINE_S = 4.0
ADDRESS_TTL_S = 1.0
CRASH_SHARE = 0.05  # of streams, while a prompt segment crashes upstreams
PATHS = {"stream": "/stream/", "unsafe": "/unsafe/", "safe": "/safe/"}


class Caller:
    def __init__(self, recorder, fleet, team, key, number):
        self.recorder, self.fleet, self.team, self.key, self.number = (
            recorder, fleet, team, key, number)
        self.addresses, self.resolved_at = [], 0.0
        self.connection, self.request_count = None, 0

    async def run(self, until):
        while time.monotonic() < until:
            kind = self.recorder.random.choice(("stream", "unsafe", "unsafe", "safe"))
            await self.request(kind)
            await asyncio.sleep(self.recorder.random.uniform(0.0, 0.05))
        self.close()

    def close(self):
        if self.connection:
            self.connection[1].close()
        self.connection = None

    async def resolve(self):
        if self.addresses and time.monotonic() < self.resolved_at + ADDRESS_TTL_S:
            return
        for node in self.recorder.random.sample(self.fleet.nodes, 3):
            try:
                path = "/v1/resolve?name=%s&region=r&zone=%s" % (HOST, quote(node.domain))
                status, _, body = await wire.send_request(node.lookup_address, "GET", path, timeout=1.0)
                found = json.loads(body).get("addresses", []) if status == 200 else []
            except (wire.ProtocolError, ValueError):
                continue  # try the next node
            if found:
                self.addresses, self.resolved_at = found, time.monotonic()
                return

    async def connect(self):
        """Reuses the open connection or connects to a random address."""
        if self.connection:
            return
        await self.resolve()
        if not self.addresses:
            raise wire.ProtocolError("no router address resolved")
        address = self.recorder.random.choice(self.addresses)
        host, port = address.rsplit(":", 1)
        try:
            pair = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1.0)
        except (OSError, asyncio.TimeoutError):
            self.addresses = [a for a in self.addresses if a != address]
            raise wire.ProtocolError("cannot connect to " + address) from None
        self.connection = (pair[0], pair[1], address)

    async def request(self, kind):
        self.request_count += 1
        attempt_id = "c%d-%d" % (self.number, self.request_count)
        headers = {"Host": HOST, "Attempt-Id": attempt_id, "Deadline-Ms": int(DEADLINE_S * 1000),
                   "Authorization": "Bearer " + self.key, "X-Kind": kind, "X-Team": self.team,
                   "X-Sent": "%.6f" % time.monotonic()}
        if kind == "stream":
            headers["Prompt-Prefix"] = self.prompt(attempt_id)
        self.recorder.count("requests")
        try:
            await self.connect()
        except wire.ProtocolError:
            self.recorder.count("no connection")
            await asyncio.sleep(0.1)
            return
        reader, writer, address = self.connection
        node = self.fleet.node_at(address)
        fault_counts = node.fault_counts()
        self.recorder.requests[attempt_id] = Request(node)
        try:
            writer.write(wire.request_bytes("POST", PATHS[kind] + "x", headers, attempt_id.encode()))
            status, response_headers, body = await asyncio.wait_for(self.read(reader), DEADLINE_S)
        except asyncio.TimeoutError:
            self.recorder.count("deadline passed")
            self.close()
            return
        except (wire.ProtocolError, OSError):
            self.recorder.count("connection lost")
            self.close()
            self.check_disconnect(attempt_id, node, fault_counts)
            return
        self.recorder.count(str(status))
        self.recorder.record_response(node, response_headers)
        self.check(attempt_id, kind, status, response_headers, body)
        if response_headers.get("connection", "").lower() == "close" or status >= 500:
            self.close()
        if status in (429, 503):
            await asyncio.sleep(min(1.0, float(response_headers.get("retry-after", 0.1))))

    def prompt(self, attempt_id):
        """A segment of all teams, one that may crash upstreams, and an own one."""
        segments = ["system:100"]
        if self.recorder.crash_segment and self.recorder.random.random() < CRASH_SHARE:
            segments.append(self.recorder.crash_segment + ":50")
        return ",".join(segments + [attempt_id + ":10"])

    async def read(self, reader):
        start_line, headers = await wire.read_head(reader)
        return int(start_line.split()[1]), headers, await wire.read_body(reader, headers)

    def check(self, attempt_id, kind, status, response_headers, body):
        if status in (408, 421, 429, 503):
            self.recorder.record_rejection(attempt_id, kind)
        elif status in (401, 403, 404) and self.team not in self.recorder.revoking:
            self.recorder.report_violation("DENIED", "%s of %s got status %d" %
                                           (attempt_id, self.team, status))
        elif status == 200:
            self.check_success(attempt_id, kind, response_headers, body.decode(errors="replace"))

    def check_success(self, attempt_id, kind, response_headers, text):
        if (response_headers.get("server-stamp") != SERVER_STAMP or
                response_headers.get("attempt-id") != attempt_id):
            self.recorder.report_violation("MIXED", "%s got the response to %r" %
                                           (attempt_id, response_headers.get("attempt-id")))
        if kind != "stream":
            if text != "done " + attempt_id:
                self.recorder.report_violation("MIXED", "%s got the body %r" %
                                               (attempt_id, text[:60]))
            return
        expected = "".join("id: %d\ndata: %s %d\n\n" % (n, attempt_id, n)
                           for n in range(1, EVENTS_PER_STREAM + 1))
        if text != expected:
            self.recorder.report_violation("ORDER", "%s got a stream that ends with %r" %
                                           (attempt_id, text[-80:]))

    def check_disconnect(self, attempt_id, node, fault_counts):
        """Checks that a graceful stop does not interrupt a request that runs at a
        healthy upstream. A request that was sent while the router closed the
        connection and reached no upstream is allowed to fail."""
        reached_upstream = attempt_id in self.recorder.executions
        if (reached_upstream and node.only_terminated_since(fault_counts) and
                not self.fleet.recent_upstream_fault()):
            self.recorder.report_violation(
                "SHUTDOWN", "%s was interrupted by the graceful stop of %s" %
                (attempt_id, node.name))


class Operator:
    """Sends configurations with increasing versions, revokes API keys, and
    evacuates failure domains for a limited time."""

    def __init__(self, recorder, fleet, teams):
        self.recorder, self.fleet, self.teams = recorder, fleet, dict(teams)
        self.version = 0

    def config_document(self):
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

    async def send_admin_request(self, method, path, body=b"", until=None):
        """Sends an admin request to random nodes until one acknowledges it."""
        while until is None or time.monotonic() < until:
            node = self.recorder.random.choice(self.fleet.nodes)
            try:
                status, _, text = await wire.send_request(node.admin_address, method, path, body=body)
            except wire.ProtocolError:
                status, text = 0, b""
            if 200 <= status < 300:
                return True
            if 400 <= status < 500:
                self.recorder.report_violation("ADMIN_REQUEST_REJECTED", "%s %s got status %d: %r" %
                                               (method, path, status, text[:80]))
                return False
            await asyncio.sleep(0.1)
        return False

    async def configure(self, until=None):
        self.version += self.recorder.random.randint(1, 3)
        version = self.version
        acknowledged = await self.send_admin_request(
            "PUT", "/v1/config", json.dumps(self.config_document()).encode(), until)
        if acknowledged:
            self.recorder.record_ack(version)
            self.recorder.count("configurations")
        return acknowledged

    async def revoke(self, team, until):
        del self.teams[team]
        self.recorder.revoking.add(team)
        if await self.configure(until):
            self.recorder.revoked[team] = time.monotonic()
            self.recorder.count("revocations")

    async def evacuate(self, domain, seconds, until):
        if await self.send_admin_request("POST", "/v1/evacuations/" + domain, until=until):
            self.recorder.evacuated[domain] = time.monotonic()
            self.recorder.count("evacuations")
            await asyncio.sleep(seconds)
        self.recorder.evacuated.pop(domain, None)
        await self.send_admin_request("DELETE", "/v1/evacuations/" + domain)

    async def poll_config(self, until):
        """Reads the configuration from random nodes until the given time."""
        while time.monotonic() < until:
            await asyncio.sleep(self.recorder.random.uniform(0.05, 0.3))
            await self.read_config(self.recorder.random.choice(self.fleet.nodes))

    async def read_config(self, node):
        requested_at = time.monotonic()
        try:
            status, _, body = await wire.send_request(
                node.admin_address, "GET", "/v1/config", timeout=1.5)
        except wire.ProtocolError:
            return False
        if status != 200:
            return False
        self.recorder.check_read(node.name, json.loads(body)["version"], requested_at)
        return True
