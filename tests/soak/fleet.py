"""The processes of the fleet under test: started, stopped and restarted by
their ids, each with a data folder and a log of its own."""

import os
import resource
import shutil
import signal
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"), "arbutustack")
GRACE_S = 8
MESH_PORT, MESH_REAL, HTTP, TRAFFIC, READY, CONTROL, DIRECTORY = range(7)


class Node:
    """One process. `marks` counts what was done to it beside a graceful stop."""

    def __init__(self, fleet, number, voter):
        self.fleet, self.number, self.voter = fleet, number, voter
        self.name = "node-%d" % number
        self.ip = "127.0.%d.%d" % (fleet.net, number)
        self.domain = "domain-%s" % "abc"[(number - 1) % 3]
        self.folder = os.path.join(fleet.folder, self.name)
        self.child, self.bootstrap = None, True
        self.marks, self.stops, self.stopping = 0, 0, False

    def port(self, which):
        return self.fleet.port + which

    def at(self, which):
        return "%s:%d" % (self.ip, self.port(which))

    traffic = property(lambda self: self.at(TRAFFIC))
    directory = property(lambda self: self.at(DIRECTORY))
    operator = property(lambda self: self.at(CONTROL))
    ready = property(lambda self: self.at(READY))

    def settings(self):
        seeds = ", ".join('"%s"' % n.at(CONTROL) for n in self.fleet.nodes if n.voter)
        data = 'data_directory = "%s/state"' % self.folder if self.voter else ""
        roles = '["router", "control"]' if self.voter else '["router"]'
        return "\n".join((
            "[node]", 'name = "%s"' % self.name, "roles = " + roles,
            'failure_domain = "%s"' % self.domain, 'region = "r"', data,
            "[listen]", 'http = "%s"' % self.at(HTTP), 'mesh = "%s"' % self.at(MESH_REAL),
            'mesh_advertised = "%s"' % self.at(MESH_PORT),
            "[fleet]", "seeds = [%s]" % seeds, "seed_mesh_port = %d" % self.port(MESH_PORT),
            "bootstrap = " + str(self.bootstrap).lower(),
            "[gateway]", 'requests = "%s"' % self.traffic, 'health = "%s"' % self.ready,
            'operators = "%s"' % self.operator, 'addresses = "%s"' % self.directory,
            "address_ttl_ms = 1000",
            "[discovery]", 'server = "%s"' % self.fleet.list_address,
            "[limits]", "killed_after_seconds = %d" % GRACE_S, ""))

    def start(self):
        os.makedirs(self.folder, exist_ok=True)
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as text:
            text.write(self.settings())
        with open(os.path.join(self.folder, "log"), "ab") as log:
            self.child = subprocess.Popen([PROGRAM, "serve", "--config=" + path],
                                          stdout=log, stderr=log)
        self.stopping, self.bootstrap = False, False

    @property
    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send(self, number):
        if self.alive:
            self.child.send_signal(number)

    def kill(self):
        self.marks += 1
        self.send(signal.SIGKILL)
        self.child.wait()

    def terminate(self):
        self.stops += 1
        self.stopping = True
        self.send(signal.SIGTERM)

    def pause(self):
        self.marks += 1
        self.send(signal.SIGSTOP)

    def resume(self):
        self.marks += 1
        self.send(signal.SIGCONT)

    def wipe(self):
        shutil.rmtree(os.path.join(self.folder, "state"), ignore_errors=True)

    def limit_files(self, size):
        """Files of the process may not grow beyond `size` bytes; -1 lifts it."""
        self.marks += 1
        if self.alive:
            resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def ended_by_itself(self):
        return self.child is not None and self.child.poll() is not None and not self.stopping

    def watch(self):
        return (self.marks, self.fleet.link_faults)

    def only_stopped(self, state):
        """True if nothing but a graceful stop happened to it since `state`."""
        return self.stopping and state == (self.marks, self.fleet.link_faults)


class Fleet:
    def __init__(self, folder, port, net, list_address, nodes=6, voters=3):
        self.folder, self.port, self.net = folder, port, net
        self.list_address = list_address
        self.nodes = [Node(self, i, i <= voters) for i in range(1, nodes + 1)]
        self.upstreams = []
        self.link_faults = 0
        self.upstream_fault_at = 0.0

    def node_at(self, address):
        return next(n for n in self.nodes if n.traffic == address)

    def pids(self):
        return {n.name: n.child.pid for n in self.nodes if n.alive}

    def upstreams_faulty(self):
        """True if an upstream was at fault a moment ago."""
        return (any(u.mode or u.draining for u in self.upstreams) or
                time.monotonic() < self.upstream_fault_at + GRACE_S)

    def end(self):
        for node in self.nodes:
            node.stopping = True
            for number in (signal.SIGCONT, signal.SIGTERM, signal.SIGTERM):
                node.send(number)
        for node in self.nodes:
            try:
                if node.child:
                    node.child.wait(5)
            except subprocess.TimeoutExpired:
                node.send(signal.SIGKILL)
                node.child.wait()
