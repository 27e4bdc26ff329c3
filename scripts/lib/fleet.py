"""Runs a deployment as separate processes on loopback, for the demo, the
end-to-end tests and the measurements. Processes are signalled by process id only."""

import hashlib
import json
import os
import signal
import subprocess
import time
from http.client import HTTPConnection, HTTPException

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
OPERATOR_KEY = "demo-operator-key"
FLEET_KEY = "demo-fleet-key-for-loopback-only"


def build_dir():
    return os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"))


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def http(method, address, path, body=None, headers=None, timeout=10.0):
    """Sends one request; returns (status, headers, body bytes)."""
    host, port = address.rsplit(":", 1)
    connection = HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = body if body is None or isinstance(body, bytes) else body.encode()
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_for(condition, seconds, what):
    """Waits until condition() is true and returns its value; raises TimeoutError
    after `seconds`."""
    end = time.monotonic() + seconds
    while True:
        try:
            value = condition()
        except (OSError, ValueError, HTTPException):
            value = None
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError("timed out waiting for " + what + " after %g s" % seconds)
        time.sleep(0.02)


class Process:
    """One child process with its log file."""

    def __init__(self, name, command, log):
        self.name, self.command, self.log = name, command, log
        self.child = None

    def start(self):
        with open(self.log, "ab") as out:
            self.child = subprocess.Popen(self.command, stdout=out, stderr=out)
        return self

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def wait(self, seconds=30):
        if self.child is not None:
            self.child.wait(seconds)

    def end(self, seconds=5):
        """Ends the process: SIGTERM twice, then SIGKILL."""
        for number in (signal.SIGCONT, signal.SIGTERM, signal.SIGTERM):
            self.signal(number)
            time.sleep(0.01)
        try:
            self.wait(seconds)
        except subprocess.TimeoutExpired:
            self.signal(signal.SIGKILL)
            self.wait(5)


class Fleet:
    """A whole deployment: routers, voters and simulated upstreams (stand-ins)."""

    def __init__(self, profile, run_dir, routers=12, port_base=20000, voters=3,
                 engine_flags=None, service_flags=None, log_level="info",
                 resources=None, port_shift=0, threads=1):
        self.profile, self.run_dir = profile, os.path.abspath(run_dir)
        self.router_count, self.voters = routers, voters
        self.port_base = port_base
        self.engine_flags = engine_flags or []
        self.service_flags = service_flags or []
        self.log_level, self.threads = log_level, threads
        self.port_shift = port_shift
        self.nodes, self.stand_ins = {}, {}
        os.makedirs(self.run_dir, exist_ok=True)
        path = os.path.join(ROOT, "config", profile, "resources.json")
        self.resources = resources or json.load(open(path))
        if port_shift:
            for item in self.resources:
                if item["kind"] == "upstream":
                    ip, port = item["spec"]["address"].rsplit(":", 1)
                    item["spec"]["address"] = "%s:%d" % (ip, int(port) + port_shift)

    # Addresses

    def http_address(self, node):
        return "127.0.0.1:%d" % (self.port_base + node)

    def mesh_address(self, node):
        return "127.0.0.1:%d" % (self.port_base + 500 + node)

    def all_nodes(self):
        return range(1, self.router_count + 1)

    def domain_names(self):
        return [r["name"] for r in self.resources if r["kind"] == "failure_domain"]

    def domain_of(self, node):
        names = self.domain_names()
        return names[(node - 1) % len(names)]

    # Settings

    def settings_path(self, node):
        return os.path.join(self.run_dir, "node-%d.toml" % node)

    def write_settings(self, node):
        key = os.path.join(self.run_dir, "fleet.key")
        if not os.path.exists(key):
            with open(os.open(key, os.O_WRONLY | os.O_CREAT, 0o600), "w") as out:
                out.write(FLEET_KEY + "\n")
        control = node <= self.voters
        roles = '["router", "control"]' if control else '["router"]'
        lines = [
            "[node]", "id = %d" % node, 'name = "r%d"' % node,
            "roles = " + roles, 'failure_domain = "%s"' % self.domain_of(node),
            'region = "%s"' % self.region()]
        if control:
            lines.append('data_directory = "data-%d"' % node)
        lines += [
            "[listen]", 'http = "%s"' % self.http_address(node),
            'mesh = "%s"' % self.mesh_address(node), "threads = %d" % self.threads,
            "[fleet]", 'key_file = "fleet.key"',
            'operator_key_hashes = ["%s"]' % sha256(OPERATOR_KEY)]
        for voter in range(1, self.voters + 1):
            lines += ["[[fleet.control]]", "id = %d" % voter,
                      'mesh = "%s"' % self.mesh_address(voter)]
        lines += ["[log]", 'path = "node-%d.log"' % node,
                  'level = "%s"' % self.log_level,
                  "[limits]", "drain_seconds = 10",
                  "[testing]", "allow_fault_injection = true"]
        with open(self.settings_path(node), "w") as out:
            out.write("\n".join(lines) + "\n")

    def region(self):
        for item in self.resources:
            if item["kind"] == "failure_domain":
                return item["spec"].get("region", "local")
        return "local"

    # Processes

    def start_stand_ins(self):
        kinds = {r["name"]: r["spec"] for r in self.resources if r["kind"] == "service"}
        for item in self.resources:
            if item["kind"] == "upstream":
                self.start_stand_in(item, kinds[item["spec"]["services"][0]])
        for name in self.stand_ins:
            wait_for(lambda n=name: self.stand_in_get(n, "/load"), 20, name)

    def start_stand_in(self, item, service):
        name, port = item["name"], item["spec"]["address"].rsplit(":", 1)[1]
        if service["kind"] == "model":
            command = [os.path.join(build_dir(), "tool_engine"), "--port=" + port,
                       "--seed=" + port] + self.engine_flags
        else:
            paths = [r["path_prefix"] for r in service["routes"]]
            kind = "ledger" if "/deposits" in paths else "shop"
            command = [os.path.join(build_dir(), "tool_service"), "--port=" + port,
                       "--kind=" + kind, "--seed=" + port,
                       "--record=" + self.record_path()] + self.service_flags
        log = os.path.join(self.run_dir, name + ".log")
        self.stand_ins[name] = Process(name, command, log).start()

    def record_path(self):
        return os.path.join(self.run_dir, "executions.txt")

    def address_of(self, upstream):
        for item in self.resources:
            if item["kind"] == "upstream" and item["name"] == upstream:
                return item["spec"]["address"]
        raise KeyError(upstream)

    def stand_in_get(self, name, path):
        return json.loads(http("GET", self.address_of(name), path, timeout=2)[2])

    def stand_in_post(self, name, path, body):
        return http("POST", self.address_of(name), path, json.dumps(body),
                    {"Content-Type": "application/json"}, 2)

    def start_node(self, node):
        binary = os.path.join(build_dir(), "arbutustack")
        command = [binary, "serve", "--config", self.settings_path(node)]
        log = os.path.join(self.run_dir, "node-%d.err" % node)
        self.nodes[node] = Process("r%d" % node, command, log).start()

    def init_voter(self, node):
        binary = os.path.join(build_dir(), "arbutustack")
        subprocess.run([binary, "init", "--config", self.settings_path(node)],
                       check=True, stdout=subprocess.DEVNULL)

    def start_nodes(self):
        for node in self.all_nodes():
            self.write_settings(node)
        for node in range(1, self.voters + 1):
            self.init_voter(node)
        for node in self.all_nodes():
            self.start_node(node)
        wait_for(self.leader, 20, "leader")

    def start(self):
        self.start_stand_ins()
        self.start_nodes()
        self.apply(self.resources)
        self.wait_ready()

    def wait_ready(self, seconds=30):
        def ready():
            status = self.status()
            pools = status.get("pools", [])
            return (status["nodes_with_revision_in_force"] == self.router_count and
                    pools and all(p["spec"]["grantor"] for p in pools) and
                    all(self.serving(n) for n in self.all_nodes()))
        wait_for(ready, seconds, "all routers to be in service")

    def serving(self, node):
        return http("GET", self.http_address(node), "/healthz", timeout=1)[0] == 200

    def stop(self):
        processes = list(self.nodes.values()) + list(self.stand_ins.values())
        for process in processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGTERM)
        time.sleep(0.05)
        for process in processes:
            process.signal(signal.SIGTERM)
        for process in processes:
            process.end()

    # Operators

    def api(self, method, path, body=None, node=None, request_id=None, timeout=8.0):
        headers = {"Authorization": "Bearer " + OPERATOR_KEY}
        if request_id:
            headers["X-Request-Id"] = request_id
        nodes = [node] if node else [n for n in self.all_nodes()
                                     if n in self.nodes and self.nodes[n].running()]
        last_error = None
        for candidate in nodes:
            try:
                status, _, data = http(method, self.http_address(candidate), path,
                                       None if body is None else json.dumps(body),
                                       headers, timeout)
                return status, json.loads(data) if data else None
            except (OSError, HTTPException) as error:
                last_error = error
        raise last_error or OSError("no node is running")

    def status(self, node=None):
        return self.api("GET", "/api/v1/status", node=node)[1]

    def get(self, kind, name):
        return self.api("GET", "/api/v1/%s/%s" % (kind, name))[1]

    def put(self, kind, name, spec, version, request_id=None, node=None):
        return self.api("PUT", "/api/v1/%s/%s" % (kind, name),
                        {"version": version, "spec": spec}, node, request_id)

    def change(self, kind, name, **fields):
        """Writes new values for some fields of an object."""
        current = self.get(kind, name)
        spec = dict(current["spec"], **fields)
        status, response = self.put(kind, name, spec, current["version"])
        if status != 200:
            raise RuntimeError("%s %s: %s" % (kind, name, response))
        return response["object"]

    def apply(self, resources):
        order = ["failure_domain", "policy", "service", "team", "upstream"]
        for item in sorted(resources, key=lambda r: order.index(r["kind"])):
            status, response = self.put(item["kind"], item["name"], item["spec"], 0)
            if status != 200:
                raise RuntimeError("%s %s: %s" % (item["kind"], item["name"], response))

    def metrics(self, node):
        text = http("GET", self.http_address(node), "/metrics", timeout=5)[2].decode()
        values = {}
        for line in text.splitlines():
            if line and not line.startswith("#"):
                key, value = line.rsplit(" ", 1)
                values[key] = float(value)
        return values

    def leader(self):
        for node in range(1, self.voters + 1):
            if node in self.nodes and self.nodes[node].running():
                try:
                    if self.metrics(node).get("arbutus_leader") == 1:
                        return node
                except (OSError, HTTPException):
                    continue
        return None

    def grantor(self, service):
        for pool in self.status().get("pools", []):
            if pool["name"] == service:
                return pool["spec"]["grantor"]
        return None

    def cut(self, node, peers):
        """Makes a node drop all mesh frames from and to these peers; no peers ends the
        fault."""
        http("POST", self.http_address(node), "/debug/cut",
             json.dumps({"peers": list(peers)}), timeout=2)
