"""A small deployment on loopback for the scripts of this review: the program under
test as separate processes, and stand-ins for workers, the platform, clients and the
operator. Needs nothing but the standard library.

Each machine has a loopback address of its own, and its settings are the deployment's
template filled in with the figures of a small site."""

import asyncio
import hashlib
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "arbutustack")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.toml")

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

ZONES = ("akl-a", "akl-b", "akl-c")
PORTS = {"front": 8783, "ready": 8780, "control": 8785, "directory": 8789}
OTHER_PORTS = (7400, 9464)
PLATFORM_PORT = 8781
WORKER_PORT = 8080

# Figures of kks-arbutus.
MEMORY_MB = 110
MAX_FDS = 4100
DISK_MB = 64
GRACE_S = 8.0
MAX_BODY_BYTES = 4194304
CONTACT_WINDOW_S = 3.0
RESTART_DELAY_S = 0.3
HOST = "ficu95.example"
KEYS = {"hule930": "asnmgkcuyj8pjbvk9m68", "mako114": "k7b2ex5wa5xwyhks8nbk"}


class CannotRun(Exception):
    """The case could not be set up, which says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        text = " ".join("%s=%s" % (k, json.dumps(v)) for k, v in fields.items())
        self.file.write("%8.3f %s %s\n" % (self.now(), event, text))
        self.file.flush()


# Settings

def lookup(stack, path):
    if path == ".":
        return stack[-1]
    for scope in reversed(stack):
        value = scope
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(plain(v) for v in value)
    return str(value)


def render(text, stack, last=True):
    """Fills in a template as the platform's pages describe it."""
    parts, at = [], 0
    pattern = re.compile(r"\{\{([#^]?)([^{}]+)\}\}")
    while True:
        found = pattern.search(text, at)
        if not found:
            parts.append(text[at:])
            return "".join(parts)
        parts.append(text[at:found.start()])
        kind, name = found.group(1), found.group(2)
        if not kind:
            if name == ",":
                parts.append("" if last else ",")
            else:
                parts.append(plain(lookup(stack, name)))
            at = found.end()
            continue
        close = "{{/%s}}" % name
        end = text.index(close, found.end())
        inner, value = text[found.end():end], lookup(stack, name)
        if kind == "^":
            if not value:
                parts.append(render(inner, stack, last))
        elif isinstance(value, list):
            for i, entry in enumerate(value):
                parts.append(render(inner, stack + [entry], i + 1 == len(value)))
        elif value is not None and value is not False:
            parts.append(render(inner, stack + [value], True))
        at = end + len(close)


class Machine:
    def __init__(self, fleet, number, has_disk):
        self.fleet, self.number, self.has_disk = fleet, number, has_disk
        self.ip = "%s.%d" % (fleet.net, number)
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.name = "front-%s-%d" % (self.zone, number)
        self.folder = os.path.join(fleet.folder, self.name)
        self.child, self.wanted = None, False
        self.bootstrap = True
        self.ends = []  # ends of the process that no signal of the test asked for
        self.peak_kb = 0

    def at(self, what):
        return "%s:%d" % (self.ip, PORTS[what])

    def fields(self):
        fields = {
            "node_name": self.name, "role": "front", "machine_class": "front",
            "ip": self.ip, "zone": self.zone, "region": "nz-north",
            "zones": {z: "nz-north" for z in ZONES},
            "listen": {k: self.at(k) for k in PORTS},
            "port_range": [7400, 7415],
            "seeds": [m.at("control") for m in self.fleet.machines if m.has_disk],
            "bootstrap": self.bootstrap, "fault_counted": self.has_disk,
            "limits": {"cpu_share": 0.45, "cores": 1, "memory_mb": MEMORY_MB,
                       "max_fds": MAX_FDS, "link_mbps": 1000.0},
            "heartbeat_ms": 1200, "config_mode": "highest",
            "bounds": {"drain_ms": 3000, "grace_s": 8, "retry_budget_slack": 60},
            "cloud": {"address": self.fleet.platform_address, "rate_per_s": 42.0,
                      "lag_ms": 800},
        }
        if self.has_disk:
            fields["limits"]["disk_mb"] = DISK_MB
            fields["data_dir"] = os.path.join(self.folder, "data")
        return fields

    def start(self):
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        path = os.path.join(self.folder, "local.conf")
        with open(TEMPLATE, encoding="utf-8") as text:
            template = text.read()
        with open(path, "w", encoding="utf-8") as text:
            text.write(render(template, [self.fields()]))

        def limit():
            resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))

        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.child = subprocess.Popen(
                [PROGRAM, "serve", "--config=" + path], cwd=ROOT, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL, preexec_fn=limit)
        self.bootstrap, self.wanted = False, True

    @property
    def alive(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.alive:
            self.child.send_signal(number)

    def terminate(self):
        self.wanted = False
        self.signal(signal.SIGTERM)

    def memory_kb(self):
        """Resident memory now and at its peak."""
        now = peak = 0
        try:
            with open("/proc/%d/status" % self.child.pid, encoding="utf-8") as text:
                for line in text:
                    if line.startswith("VmRSS:"):
                        now = int(line.split()[1])
                    elif line.startswith("VmHWM:"):
                        peak = int(line.split()[1])
        except OSError:
            pass
        self.peak_kb = max(self.peak_kb, peak)
        return now, peak


class Fleet:
    def __init__(self, record, machines=4, disks=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review2-")
        self.net = self.free_net(machines)
        self.platform_address = "%s.250:%d" % (self.net, PLATFORM_PORT)
        self.machines = [Machine(self, i, i <= disks) for i in range(1, machines + 1)]
        self.workers = []
        self.servers = []
        self.tasks = []

    @staticmethod
    def free_net(machines):
        """The first three parts of loopback addresses whose ports are free."""
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            try:
                for host in list(range(1, machines + 1)) + [250]:
                    for port in list(PORTS.values()) + list(OTHER_PORTS) + [PLATFORM_PORT]:
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind(("%s.%d" % (net, host), port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def add_worker(self, service, slots, work_s, **more):
        number = len(self.workers) + 1
        worker = Worker(self, number, service, slots, work_s, **more)
        self.workers.append(worker)
        return worker

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun("target/arbutustack is missing; run the build of the deploy file")
        for worker in self.workers:
            await worker.start()
        ip, port = self.platform_address.split(":")
        self.servers.append(await asyncio.start_server(self.serve_platform, ip, int(port)))
        for machine in self.machines:
            machine.start()
        self.tasks.append(asyncio.ensure_future(self.watch()))

    async def watch(self):
        """The platform: ends a process that uses more than its memory, and starts
        a process again that has ended."""
        while True:
            await asyncio.sleep(0.02)
            for machine in self.machines:
                if not machine.wanted:
                    continue
                if machine.alive:
                    now, peak = machine.memory_kb()
                    if max(now, peak) * 1024 > MEMORY_MB * 1000 * 1000:
                        self.record.write("memory_over_limit", machine=machine.name,
                                          rss_kb=now, peak_kb=peak, limit_mb=MEMORY_MB)
                        machine.child.kill()
                        machine.child.wait()
                if not machine.alive:
                    machine.ends.append(self.record.now())
                    self.record.write("process_ended", machine=machine.name,
                                      code=machine.child.returncode)
                    machine.wanted = False
                    asyncio.get_running_loop().call_later(
                        RESTART_DELAY_S, self.start_again, machine)

    def start_again(self, machine):
        self.record.write("process_started_again", machine=machine.name)
        machine.start()

    async def serve_platform(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                entries = [w.entry() for w in self.workers if w.listed]
                write_response(writer, 200, {"Content-Type": "application/json"},
                               json.dumps({"instances": entries, "next": None}).encode())
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            writer.close()

    def control(self):
        return [m.at("control") for m in self.machines]

    async def wait_ready(self, machines=None, timeout=25):
        end = time.monotonic() + timeout
        for machine in machines or self.machines:
            while True:
                try:
                    status, _, _ = await call(machine.at("ready"), "GET", "/v1/ready", timeout=1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, ValueError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun("%s is not ready in time" % machine.name)
                await asyncio.sleep(0.1)

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for machine in self.machines:
            machine.wanted = False
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            if machine.child is not None:
                machine.child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# HTTP

async def read_message(reader):
    """Start line, headers (names in lower case) and body, or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += chunk[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return start, headers, body


def write_response(writer, status, headers, body=b""):
    lines = ["HTTP/1.1 %d %s" % (status, "OK" if status < 300 else "Error")]
    lines += ["%s: %s" % item for item in headers.items()]
    lines.append("Content-Length: %d" % len(body))
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def request_bytes(method, target, headers, body=None):
    lines = ["%s %s HTTP/1.1" % (method, target)]
    lines += ["%s: %s" % item for item in headers.items()]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


async def call(address, method, target, headers=None, body=None, timeout=1.0):
    """One request on a new connection: status, headers, body."""
    ip, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, int(port), limit=1 << 24)
        try:
            writer.write(request_bytes(method, target, dict({"Host": address}, **(headers or {})),
                                       body))
            answer = await read_message(reader)
            if answer is None:
                raise ConnectionError("closed without an answer")
            return int(answer[0].split()[1]), answer[1], answer[2]
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


def caller_headers(attempt, tenant="hule930", deadline_ms=4000):
    return {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": str(deadline_ms),
            "Authorization": "Bearer " + KEYS[tenant]}


def new_attempt():
    return "%016x" % random.getrandbits(64)


# Workers

class Worker:
    """A sound worker of a plain service. Records each request that it runs."""

    def __init__(self, fleet, number, service, slots, work_s, queue=24, answer_bytes=800):
        self.fleet, self.service, self.slots, self.work_s = fleet, service, slots, work_s
        self.queue, self.answer_bytes = queue, answer_bytes
        self.ip = "%s.%d" % (fleet.net, 100 + number)
        self.id = "i-%02x%06x" % (number, random.getrandbits(24))
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.born = int(time.time() * 1000)
        self.listed = True
        self.running = self.waiting = 0
        self.runs = []
        self.free = asyncio.Semaphore(slots)

    def entry(self):
        return {"service": self.service, "address": "%s:%d" % (self.ip, WORKER_PORT),
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": "ready",
                "cold_remaining_ms": 0, "id": self.id, "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, WORKER_PORT, limit=1 << 20)
        self.fleet.servers.append(self.server)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                await self.answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return
        finally:
            writer.close()

    async def answer(self, request, writer):
        start, headers, body = request
        method, target, _ = start.split(" ", 2)
        load = {"Instance-Load": "%d,%d,%d" % (self.running, self.waiting, self.slots)}
        if method == "GET" and target == "/health":
            write_response(writer, 200, dict(load, **{"Instance-Id": self.id}))
            return
        attempt = headers.get("attempt-id", "")
        if not attempt:
            write_response(writer, 400, {"Not-Executed": "1"})
            return
        echo = dict(load, **{"Attempt-Id": attempt})
        expected = headers.get("expect-instance")
        if expected is not None and expected != self.id:
            write_response(writer, 421, dict(echo, **{"Instance-Id": self.id}))
            return
        if self.waiting >= self.queue:
            write_response(writer, 503, dict(echo, **{"Not-Executed": "1"}))
            return
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            run = {"attempt": attempt, "method": method, "target": target, "worker": self.id,
                   "tenant": headers.get("tenant"), "body_bytes": len(body),
                   "body_sha": hashlib.sha256(body).hexdigest()[:12], "at": time.monotonic()}
            self.runs.append(run)
            self.fleet.record.write("run", **{k: v for k, v in run.items() if k != "at"})
            await asyncio.sleep(self.work_s)
            size = re.search(r"[?&]bytes=(\d+)", target)
            write_response(writer, 200, dict(echo, **{"Server-Stamp": "3e1b.07.5a2.%s" % attempt[:8]}),
                           answer_body(attempt, int(size.group(1)) if size else self.answer_bytes))
        finally:
            self.running -= 1
            self.free.release()


def answer_body(attempt, size):
    """The body of the answer to this request, which no other has."""
    block = (attempt + "\n").encode()
    return (block * (size // len(block) + 1))[:size]


# The operator

def make_config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       "tokens_per_s": 190000},
            "tenants": [{"name": n, "api_keys": [k], "priority": 1} for n, k in KEYS.items()]}


def make_route(name, prefix, kind, service, timeout_ms=4000, attempts=2, aim_ms=300):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": aim_ms, "priority": 2,
            "service": service, "max_attempts": attempts, "public": False, "sticky": False,
            "resumable": False}


def make_service(name):
    return {"name": name, "health_path": "/health", "max_connections": 1900, "protocol": "h1",
            "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}


async def send_order(record, addresses, method, target, body, until, what, timeout=1.0):
    """Sends an order as the pages say: to another node after a failure, a 5xx or a
    second without an answer, with increasing pauses. Returns the final status or
    None."""
    pause, turn = 0.1, random.randrange(len(addresses))
    while time.monotonic() < until:
        address = addresses[turn % len(addresses)]
        turn += 1
        try:
            status, _, _ = await call(address, method, target,
                                      {"Content-Type": "application/json"}, body, timeout)
        except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
            status = None
            record.write("order_unanswered", what=what, to=address, error=repr(error)[:80])
        if status is not None:
            record.write("order_answered", what=what, to=address, status=status)
            if status < 500 and status not in (408, 429):
                return status
        await asyncio.sleep(pause)
        pause = min(2 * pause, 1.0)
    return None


async def send_config(record, fleet, config, timeout=25):
    status = await send_order(record, fleet.control(), "PUT", "/v1/config",
                              json.dumps(config).encode(), time.monotonic() + timeout,
                              "config %s" % config["version"])
    if status != 200:
        raise CannotRun("the configuration was not acknowledged: %s" % status)


# Clients

class KeptClient:
    """A client that sends one request after the other on a kept connection. `lost`
    holds the requests that began on a connection that had served others, and ended
    with that connection and without an answer."""

    def __init__(self, record, machine, method, target, body=None, pause_s=0.0):
        self.record, self.machine = record, machine
        self.method, self.target, self.body, self.pause_s = method, target, body, pause_s
        self.sent = self.answered = 0
        self.lost = []
        self.stopping = False

    async def run(self):
        while not self.stopping:
            try:
                ip, port = self.machine.at("front").split(":")
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(ip, int(port), limit=1 << 24), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                await self.use(reader, writer)
            finally:
                writer.close()

    async def use(self, reader, writer):
        served = 0
        while not self.stopping:
            attempt = new_attempt()
            try:
                writer.write(request_bytes(self.method, self.target,
                                           caller_headers(attempt), self.body))
                self.sent += 1
                answer = await asyncio.wait_for(read_message(reader), 4.5)
            except (OSError, ValueError, asyncio.IncompleteReadError):
                answer = None
            except asyncio.TimeoutError:
                self.record.write("client_gave_up", attempt=attempt, machine=self.machine.name)
                return
            if answer is None:
                if served:
                    self.lost.append(attempt)
                self.record.write("closed_without_answer", attempt=attempt,
                                  machine=self.machine.name, served_before=served)
                return
            served += 1
            self.answered += 1
            status = int(answer[0].split()[1])
            if status != 200:
                self.record.write("answer", attempt=attempt, status=status)
                await asyncio.sleep(0.3)
            if answer[1].get("connection", "").lower() == "close":
                return
            await asyncio.sleep(self.pause_s)


class SlowReader:
    """A client that reads its answer at a steady rate, over a link with the segment
    size of an Ethernet and a small window."""

    SEGMENT_BYTES = 1448
    WINDOW_BYTES = 8192

    def __init__(self, record, machine, target, bytes_per_s, deadline_ms):
        self.record, self.machine, self.target = record, machine, target
        self.bytes_per_s, self.deadline_ms = bytes_per_s, deadline_ms
        self.attempt = new_attempt()
        self.status, self.announced, self.read = None, None, 0
        self.complete = False
        self.took_s = 0.0

    async def run(self):
        loop, began = asyncio.get_running_loop(), time.monotonic()
        sock = socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, self.SEGMENT_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.WINDOW_BYTES)
        sock.setblocking(False)
        ip, port = self.machine.at("front").split(":")
        data, end = b"", None
        try:
            await loop.sock_connect(sock, (ip, int(port)))
            await loop.sock_sendall(sock, request_bytes(
                "GET", self.target, caller_headers(self.attempt, deadline_ms=self.deadline_ms)))
            self.record.write("sent", attempt=self.attempt, to=self.machine.name)
            step_s = 0.05
            while time.monotonic() - began < self.deadline_ms / 1000:
                part = await asyncio.wait_for(
                    loop.sock_recv(sock, max(1, int(self.bytes_per_s * step_s))), 5)
                if not part:
                    break
                data += part
                if end is None and b"\r\n\r\n" in data:
                    head = data.split(b"\r\n\r\n", 1)[0].decode("latin-1")
                    self.status = int(head.split()[1])
                    for line in head.split("\r\n")[1:]:
                        name, _, value = line.partition(":")
                        if name.lower() == "content-length":
                            self.announced = int(value)
                    end = len(head) + 4 + (self.announced or 0)
                if end is not None and len(data) >= end:
                    self.complete = True
                    break
                await asyncio.sleep(step_s)
        except (OSError, asyncio.TimeoutError) as error:
            self.record.write("reader_failed", attempt=self.attempt, error=repr(error)[:80])
        finally:
            sock.close()
        self.read, self.took_s = len(data), time.monotonic() - began
        self.record.write("reader_ended", attempt=self.attempt, machine=self.machine.name,
                          status=self.status, announced=self.announced, read=self.read,
                          complete=self.complete, took_s=round(self.took_s, 2))


# A case

def run_case(main, folder, limit_s=115):
    """Runs `main(record)` and exits with its result; 2 if it could not run."""
    record = Record(folder)
    record.write("begin", trouble=trouble())

    async def guarded():
        return await asyncio.wait_for(main(record), limit_s)

    try:
        result = asyncio.run(guarded())
    except CannotRun as error:
        record.write("could_not_run", reason=str(error))
        result = COULD_NOT_RUN
    except asyncio.TimeoutError:
        record.write("could_not_run", reason="out of time")
        result = COULD_NOT_RUN
    except Exception as error:  # the case itself is at fault
        record.write("could_not_run", reason=repr(error))
        result = COULD_NOT_RUN
        import traceback
        traceback.print_exc()
    record.write("result", code=result,
                 meaning=("held", "broken", "could not run")[result])
    print("result %d (%s)" % (result, ("rule held", "rule broken", "could not run")[result]))
    sys.exit(result)
