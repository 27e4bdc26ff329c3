"""A small fleet of real processes that serve the platform's interface on loopback
addresses, with stand-ins for its list of instances and its workers. The tests of
rollouts and of hostile clients use it."""

import http.client
import http.server
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402

HOST = "host.example"
START_DEADLINE_S = 60

SETTINGS = """[node]
name = "{name}"
roles = ["router"{control}]
failure_domain = "a"
region = "r"
data_directory = "{directory}/state"

[listen]
http = "{ip}:{http}"
mesh = "{ip}:{mesh}"

[fleet]
seeds = [{seeds}]
seed_mesh_port = {mesh}
bootstrap = true
{fleet}

[gateway]
requests = "{ip}:{front}"
health = "{ip}:{ready}"
operators = "{ip}:{operators}"
addresses = "{ip}:{addresses}"

[discovery]
server = "{list_ip}:{list_port}"

[limits]
{limits}
"""


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address, handler):
        self.open_connections = set()
        self.lock = threading.Lock()
        super().__init__(address, handler)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def process_request(self, request, client_address):
        with self.lock:
            self.open_connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.open_connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        pass  # a caller that closed its connection

    def stop(self):
        """Ends the server and all its connections at once."""
        self.shutdown()
        self.server_close()
        with self.lock:
            for connection in list(self.open_connections):
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


class Worker:
    """An upstream. `reply(worker, path, running)` returns status, body and seconds
    of work."""

    def __init__(self, ip, port, name, service, version, reply, slots=16):
        self.name, self.service, self.version, self.slots = name, service, version, slots
        self.address = "%s:%d" % (ip, port)
        self.requests = 0
        self.running = 0
        self.lock = threading.Lock()
        worker = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
                    self.read_chunks()
                else:
                    self.rfile.read(length)
                if self.headers.get("Expect-Instance") != worker.name:
                    return self.send(421, b"", {"Not-Executed": "1"})
                with worker.lock:
                    worker.requests += 1
                    worker.running += 1
                    running = worker.running
                try:
                    status, body, seconds = reply(worker, self.path, running)
                    time.sleep(seconds)
                finally:
                    with worker.lock:
                        worker.running -= 1
                self.send(status, body, {"Server-Stamp": "stamp"})

            def read_chunks(self):
                while True:
                    size = int(self.rfile.readline().split(b";")[0], 16)
                    self.rfile.read(size + 2)
                    if size == 0:
                        return

            def send(self, status, body, headers):
                self.send_response(status)
                for name, value in headers.items():
                    self.send_header(name, value)
                self.send_header("Attempt-Id", self.headers.get("Attempt-Id", ""))
                self.send_header("Instance-Load", "%d,0,%d" % (worker.running, worker.slots))
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            do_GET = do_POST = do_PUT = answer

        self.server = Server((ip, port), Handler)

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": "a",
                "version": self.version, "slots": self.slots, "state": "ready",
                "cold_remaining_ms": 0, "id": self.name}


class InstanceList:
    """Stand-in for the platform's list of instances."""

    def __init__(self, ip, port):
        self.workers = []
        shown = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                body = json.dumps({"instances": [w.entry() for w in list(shown.workers)],
                                   "next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.server = Server((ip, port), Handler)


def call(address, method, path, body=None, headers=None, timeout=10.0):
    """Returns status, headers and body; status 0 if there was no whole answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


class GatewayFleet:
    """`size` routers, all of them voters, at 127.`net`.0.N."""

    def __init__(self, net, size, limits="", port_base=24000, fleet=""):
        self.directory = tempfile.mkdtemp(prefix="arbutus-gateway-")
        self.net, self.base = net, port_base
        self.ips = ["127.%d.0.%d" % (net, i + 1) for i in range(size)]
        self.list = InstanceList(self.ip(200), port_base + 9)
        self.limits, self.fleet = limits, fleet
        self.processes = {}
        self.workers = 0
        for i in range(size):
            os.makedirs(self.folder(i))
            self.write_settings(i)
            self.start(i)

    def ip(self, last):
        return "127.%d.0.%d" % (self.net, last)

    def folder(self, index):
        return os.path.join(self.directory, "node-%d" % index)

    def write_settings(self, index):
        base = self.base
        text = SETTINGS.format(
            name="node-%d" % index, control=', "control"', directory=self.folder(index),
            ip=self.ips[index], http=base, mesh=base + 1, front=base + 2, ready=base + 3,
            operators=base + 4, addresses=base + 5, list_ip=self.ip(200),
            list_port=base + 9, limits=self.limits,
            fleet=self.fleet,
            seeds=", ".join('"%s:%d"' % (ip, base + 4) for ip in self.ips[:3]))
        with open(os.path.join(self.folder(index), "settings.toml"), "w") as out:
            out.write(text)

    def start(self, index):
        log = open(os.path.join(self.folder(index), "log"), "ab")
        self.processes[index] = subprocess.Popen(
            [os.path.join(fleets.build_dir(), "arbutustack"), "serve",
             "--config=" + os.path.join(self.folder(index), "settings.toml")],
            stdout=log, stderr=subprocess.STDOUT)
        log.close()

    def kill(self, index):
        self.processes[index].send_signal(signal.SIGKILL)
        self.processes[index].wait()

    def front(self, index):
        return "%s:%d" % (self.ips[index], self.base + 2)

    def listener(self, index, name):
        offset = {"http": 0, "mesh": 1, "requests": 2, "health": 3, "operators": 4,
                  "addresses": 5}[name]
        return "%s:%d" % (self.ips[index], self.base + offset)

    def add_worker(self, service, version, reply, slots=16):
        self.workers += 1
        worker = Worker(self.ip(210), self.base + 20 + self.workers,
                        "w-%d" % self.workers, service, version, reply, slots)
        self.list.workers.append(worker)
        return worker

    def remove_worker(self, worker):
        self.list.workers.remove(worker)
        worker.server.stop()

    def order(self, method, path, body=None):
        """Sends an order to one router after the other until one answers."""
        deadline = time.monotonic() + START_DEADLINE_S
        while time.monotonic() < deadline:
            for index in list(self.processes):
                status, _, answer = call(self.listener(index, "operators"), method, path,
                                         json.dumps(body) if body else None, timeout=2)
                if status and status < 500 and status not in (408, 429):
                    return status, answer
            time.sleep(0.1)
        raise AssertionError("no answer to %s %s" % (method, path))

    def leader(self):
        """Index of the process whose log says last that it leads."""
        found = None
        for index in self.processes:
            with open(os.path.join(self.folder(index), "log")) as log:
                for line in log:
                    if "event=leading" in line:
                        found = max(found or ("", 0), (line.split()[0], index))
        return found[1] if found else None

    def configure(self, services, routes, body_bytes=4194304):
        document = {
            "version": 1,
            "routes": [dict({"host": HOST, "timeout_ms": 8000, "target_latency_ms": 1000,
                             "max_attempts": 2, "public": True}, **r) for r in routes],
            "services": [{"name": s, "health_path": "/health", "max_connections": 500,
                          "protocol": "h1", "tls": False, "cold_start_s": 0.0,
                          "cold_per_s": 0.0} for s in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": body_bytes,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        status, body = self.order("PUT", "/v1/config", document)
        if status != 200:
            raise AssertionError("configuration: %s %s" % (status, body))

    def wait_ready(self):
        def ready():
            return all(call(self.listener(i, "health"), "GET", "/v1/ready", timeout=2)[0] == 200
                       for i in self.processes)
        fleets.wait_for(ready, START_DEADLINE_S, "all routers to be ready")

    def close(self, keep=False):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for worker in self.list.workers:
            worker.server.stop()
        self.list.server.stop()
        if keep:
            print("logs: " + self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
