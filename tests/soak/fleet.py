"""The processes of the fleet under test. Each has its own data directory and log
file, and is signalled by its process id only."""

import os
import resource
import shutil
import signal
import subprocess
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, os.environ.get("BUILD_DIR", "build"), "arbutustack")
GRACE_S = 8
MESH_PROXY, MESH_LISTENER, HTTP, REQUESTS, HEALTH, ADMIN, ADDRESSES = range(7)


class Node:
    """One process. `fault_count` counts its faults other than a graceful stop."""

    def __init__(self, fleet, number, voter):
        self.fleet, self.number, self.voter = fleet, number, voter
        self.name = "node-%d" % number
        self.ip = "127.0.%d.%d" % (fleet.subnet, number)
        self.domain = "domain-%s" % "abc"[(number - 1) % 3]
        self.directory = os.path.join(fleet.directory, self.name)
        self.child, self.bootstrap = None, True
        self.fault_count, self.stops, self.stopping = 0, 0, False

    def port(self, which):
        return self.fleet.port + which

    def address_of(self, which):
        return "%s:%d" % (self.ip, self.port(which))

    request_address = property(lambda self: self.address_of(REQUESTS))
    lookup_address = property(lambda self: self.address_of(ADDRESSES))
    admin_address = property(lambda self: self.address_of(ADMIN))
    health_address = property(lambda self: self.address_of(HEALTH))

    def settings(self):
        seeds = ", ".join('"%s"' % n.address_of(ADMIN) for n in self.fleet.nodes if n.voter)
        data = 'data_directory = "%s/state"' % self.directory if self.voter else ""
        roles = '["router", "control"]' if self.voter else '["router"]'
        return "\n".join((
            "[node]", 'name = "%s"' % self.name, "roles = " + roles,
            'failure_domain = "%s"' % self.domain, 'region = "r"', data,
            "[listen]", 'http = "%s"' % self.address_of(HTTP),
            'mesh = "%s"' % self.address_of(MESH_LISTENER),
            'mesh_advertised = "%s"' % self.address_of(MESH_PROXY),
            "[fleet]", "seeds = [%s]" % seeds, "seed_mesh_port = %d" % self.port(MESH_PROXY),
            "bootstrap = " + str(self.bootstrap).lower(),
            "[gateway]", 'requests = "%s"' % self.request_address,
            'health = "%s"' % self.health_address,
            'operators = "%s"' % self.admin_address, 'addresses = "%s"' % self.lookup_address,
            "address_ttl_ms = 1000",
            "[discovery]", 'server = "%s"' % self.fleet.instance_list_address,
            "[limits]", "killed_after_seconds = %d" % GRACE_S, ""))

    def start(self):
        os.makedirs(self.directory, exist_ok=True)
        path = os.path.join(self.directory, "settings.toml")
        with open(path, "w", encoding="utf-8") as text:
            text.write(self.settings())
        with open(os.path.join(self.directory, "log"), "ab") as log:
            self.child = subprocess.Popen([PROGRAM, "serve", "--config=" + path],
                                          stdout=log, stderr=log)
        self.stopping, self.bootstrap = False, False

    @property
    def alive(self):
        return self.child is not None and self.child.poll() is None

    def send_signal(self, number):
        if self.alive:
            self.child.send_signal(number)

    def kill(self):
        self.fault_count += 1
        self.send_signal(signal.SIGKILL)
        self.child.wait()

    def terminate(self):
        self.stops += 1
        self.stopping = True
        self.send_signal(signal.SIGTERM)

    def pause(self):
        self.fault_count += 1
        self.send_signal(signal.SIGSTOP)

    def resume(self):
        self.fault_count += 1
        self.send_signal(signal.SIGCONT)

    def wipe(self):
        shutil.rmtree(os.path.join(self.directory, "state"), ignore_errors=True)

    def limit_file_size(self, size):
        """Limits the file size of the process to `size` bytes; -1 removes the limit."""
        self.fault_count += 1
        if self.alive:
            resource.prlimit(self.child.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    def exited_unexpectedly(self):
        return self.child is not None and self.child.poll() is not None and not self.stopping

    def fault_counts(self):
        return (self.fault_count, self.fleet.link_faults)

    def process_faults(self):
        """Changes whenever the process was restarted or paused."""
        return (self.fault_count, self.stops)

    def only_terminated_since(self, counts):
        """True if the only event since `counts` is a graceful stop."""
        return self.stopping and counts == (self.fault_count, self.fleet.link_faults)


class Fleet:
    def __init__(self, directory, port, subnet, instance_list_address, nodes=6, voters=3):
        self.directory, self.port, self.subnet = directory, port, subnet
        self.instance_list_address = instance_list_address
        self.nodes = [Node(self, i, i <= voters) for i in range(1, nodes + 1)]
        self.upstreams = []
        self.link_faults = 0
        self.upstream_fault_at = 0.0

    def node_at(self, address):
        return next(n for n in self.nodes if n.request_address == address)

    def pids(self):
        return {n.name: n.child.pid for n in self.nodes if n.alive}

    def recent_upstream_fault(self):
        """True if an upstream is faulty or was faulty within the last GRACE_S."""
        return (any(u.mode or u.draining for u in self.upstreams) or
                time.monotonic() < self.upstream_fault_at + GRACE_S)

    def stop_all(self):
        for node in self.nodes:
            node.stopping = True
            for number in (signal.SIGCONT, signal.SIGTERM, signal.SIGTERM):
                node.send_signal(number)
        for node in self.nodes:
            try:
                if node.child:
                    node.child.wait(5)
            except subprocess.TimeoutExpired:
                node.send_signal(signal.SIGKILL)
                node.child.wait()
