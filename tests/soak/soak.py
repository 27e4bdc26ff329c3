"""Randomized fault test of real processes on loopback. Injects faults from
outside the processes and checks the fleet's guarantees while it runs, as seen by
callers, operators and upstreams. A seed determines the sequence of faults; their
exact timing depends on the machine. Exits with status 1 if a guarantee was
violated.

usage: soak.py [--seed N] [--seconds N] [--nodes N] [--keep]
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import tempfile
import time

from callers import Caller, Operator
from fleet import Fleet, GRACE_S
from links import MeshLinks
from upstreams import InstanceList, Upstream
from world import Recorder

PORT = 18400  # below the ephemeral port range
CALLERS = 12
RECOVERY_S = 12  # the fleet must serve normally this long after the last fault
START_TIMEOUT_S = 30
RECOVERY_REQUESTS = 60
MIN_RECOVERED_SHARE = 0.9


class FaultInjector:
    """Injects random faults. At most one voter is faulty at a time, because three
    voters tolerate the loss of one. Faults of routers, upstreams and links can
    overlap."""

    def __init__(self, recorder, fleet, links, operator, until):
        self.recorder, self.fleet, self.links = recorder, fleet, links
        self.operator, self.until = operator, until
        self.nodes_under_fault = recorder.nodes_under_fault
        self.voter_fault_lock = asyncio.Lock()
        self.fault_tasks = []

    def log(self, text):
        print("%7.2f s  %s" % (time.monotonic() - self.recorder.start, text), flush=True)

    async def run(self):
        rng = self.recorder.random
        faults = (self.kill, self.kill, self.terminate, self.terminate, self.pause, self.wipe,
                  self.full_disk, self.cut_links, self.cut_links, self.delay_links, self.reset_links,
                  self.crash_upstream, self.upstream_fault, self.upstream_fault, self.drain_upstream,
                  self.crash_segment,
                  self.config_series, self.config_series, self.evacuate, self.revoke)
        while time.monotonic() < self.until:
            fault = rng.choice(faults)
            seconds = rng.uniform(0.3, 4.0)
            self.fault_tasks.append(asyncio.ensure_future(fault(seconds)))
            # Short intervals let faults overlap.
            await asyncio.sleep(rng.choice((0.05, 0.3, 1.0, 2.0)))
        await asyncio.gather(*self.fault_tasks)

    # Processes

    async def on_random_node(self, action, include_voters=True):
        candidates = [n for n in self.fleet.nodes
                      if n not in self.nodes_under_fault and (include_voters or not n.voter)]
        if not candidates:
            return
        node = self.recorder.random.choice(candidates)
        if node.voter and self.voter_fault_lock.locked():
            return
        self.nodes_under_fault.add(node)
        try:
            if not node.voter:
                await action(node)
            else:
                async with self.voter_fault_lock:
                    await action(node)
                    # Lets the voter catch up before the next fault.
                    await asyncio.sleep(RECOVERY_S / 3)
        finally:
            self.recorder.known_at = time.monotonic()
            self.nodes_under_fault.discard(node)

    async def kill(self, seconds):
        async def action(node):
            self.log("kill " + node.name)
            node.kill()
            await asyncio.sleep(seconds)
            node.start()
        await self.on_random_node(action)

    async def wipe(self, seconds):
        async def action(node):
            self.log("kill and wipe " + node.name)
            node.kill()
            node.wipe()
            await asyncio.sleep(seconds)
            node.start()
        await self.on_random_node(action)

    async def terminate(self, seconds):
        async def action(node):
            self.log("terminate " + node.name)
            node.terminate()
            deadline = time.monotonic() + GRACE_S
            while node.alive and time.monotonic() < deadline:
                await asyncio.sleep(0.05)
            if node.alive:
                self.recorder.report_violation(
                    "SHUTDOWN", node.name + " did not exit within its grace period")
                node.kill()
            await asyncio.sleep(seconds / 4)
            node.start()
        await self.on_random_node(action)

    async def pause(self, seconds):
        async def action(node):
            self.log("pause %s for %.1f s" % (node.name, seconds))
            node.pause()
            await asyncio.sleep(seconds)
            node.resume()
        await self.on_random_node(action)

    async def full_disk(self, seconds):
        async def action(node):
            if not node.voter:
                return
            self.log("block file growth of %s for %.1f s" % (node.name, seconds))
            node.limit_file_size(1)
            await asyncio.sleep(seconds)
            node.limit_file_size(-1)
        await self.on_random_node(action)

    # Links

    async def on_links_of_random_node(self, name, set_fault, seconds):
        async def action(node):
            self.fleet.link_faults += 1
            node.fault_count += 1
            self.log("%s %s for %.1f s" % (name, node.name, seconds))
            for other in self.fleet.nodes:
                if other is not node:
                    set_fault(node.name, other.name)
            await asyncio.sleep(seconds)
            self.links.clear_faults()
            self.fleet.link_faults += 1
        await self.on_random_node(action)

    async def cut_links(self, seconds):
        direction = self.recorder.random.choice(("in", "out", "both"))

        def set_fault(name, other):
            if direction != "in":
                self.links.block(name, other)
            if direction != "out":
                self.links.block(other, name)
        await self.on_links_of_random_node("cut (%s)" % direction, set_fault, seconds)

    async def delay_links(self, seconds):
        delay_s = self.recorder.random.uniform(0.02, 0.4)

        def set_fault(name, other):
            self.links.delay(name, other, delay_s)
            self.links.delay(other, name, delay_s)
        await self.on_links_of_random_node("delay by %.2f s" % delay_s, set_fault, seconds)

    async def reset_links(self, _seconds):
        async def action(node):
            self.log("reset links of " + node.name)
            self.fleet.link_faults += 1
            self.links.reset(node.name)
        await self.on_random_node(action)

    # Upstreams

    def pick_upstream(self):
        healthy = [u for u in self.fleet.upstreams if not u.mode and not u.draining and u.server]
        return self.recorder.random.choice(healthy) if len(healthy) > 2 else None

    async def crash_upstream(self, seconds):
        upstream = self.pick_upstream()
        if upstream is None:
            return
        self.log("crash " + upstream.id)
        upstream.mode = "crashed"
        await upstream.crash()
        await asyncio.sleep(seconds)
        await upstream.start()
        self.fleet.upstream_fault_at = time.monotonic()

    async def upstream_fault(self, seconds):
        upstream = self.pick_upstream()
        if upstream is None:
            return
        upstream.mode = self.recorder.random.choice(("dark", "errors", "cut", "extra", "endless", "full"))
        self.log("%s: %s for %.1f s" % (upstream.id, upstream.mode, seconds))
        await asyncio.sleep(seconds)
        upstream.mode = ""
        self.fleet.upstream_fault_at = time.monotonic()

    async def crash_segment(self, _seconds):
        """From now on some streams have a prompt segment that crashes upstreams."""
        if not self.recorder.crash_segment:
            self.recorder.crash_segment = "dead%d" % self.recorder.random.randrange(1000)
            self.log("prompt segment " + self.recorder.crash_segment + " crashes upstreams")

    async def drain_upstream(self, seconds):
        upstream = self.pick_upstream()
        if upstream is None:
            return
        self.log("drain " + upstream.id)
        upstream.draining = True
        await asyncio.sleep(3.0 + seconds)
        upstream.mode = "crashed"
        await upstream.crash()
        await upstream.start()
        self.fleet.upstream_fault_at = time.monotonic()

    # Operators

    async def config_series(self, _seconds):
        self.log("configurations")
        for _ in range(self.recorder.random.randint(1, 5)):
            await self.operator.configure()

    async def evacuate(self, seconds):
        if self.recorder.evacuated:
            return
        domain = self.recorder.random.choice([n.domain for n in self.fleet.nodes])
        self.log("evacuate " + domain)
        await self.operator.evacuate(domain, 5.0 + seconds, self.until)

    async def revoke(self, _seconds):
        if len(self.operator.teams) <= 4:
            return
        team = self.recorder.random.choice(sorted(self.operator.teams))
        self.log("revoke the key of " + team)
        await self.operator.revoke(team, self.until + RECOVERY_S)


async def wait_ready(operator, fleet):
    """Waits until the first configuration is acknowledged and readable at every node."""
    await operator.configure(time.monotonic() + START_TIMEOUT_S)
    deadline = time.monotonic() + START_TIMEOUT_S
    for node in fleet.nodes:
        while not await operator.read_config(node):
            if time.monotonic() > deadline:
                raise TimeoutError(node.name + " did not return the first configuration")
            await asyncio.sleep(0.1)


async def check_recovery(recorder, fleet, operator, teams):
    """Checks that callers are served after the last fault and that every node
    returns the newest acknowledged configuration."""
    served = 0
    names = [t for t in teams if t not in recorder.revoking]
    callers = [Caller(recorder, fleet, t, teams[t], 900 + i) for i, t in enumerate(names)]
    before = recorder.counts.get("200", 0)
    for number in range(RECOVERY_REQUESTS):
        await callers[number % len(callers)].request(("stream", "unsafe", "safe")[number % 3])
    served = recorder.counts.get("200", 0) - before
    for caller in callers:
        caller.close()
    if served < MIN_RECOVERED_SHARE * RECOVERY_REQUESTS:
        recorder.report_violation("RECOVER", "%d of %d requests served after the last fault" %
                                  (served, RECOVERY_REQUESTS))
    for node in fleet.nodes:
        if not await operator.read_config(node):
            recorder.report_violation(
                "CONFIG", node.name + " returns no configuration after the last fault")


async def check_exits(recorder, fleet, until):
    while time.monotonic() < until:
        await asyncio.sleep(0.2)
        for node in fleet.nodes:
            code = node.child.poll()
            if node.exited_unexpectedly() and code != -9:
                recorder.report_violation("EXIT", "%s exited unexpectedly with status %d" %
                                          (node.name, code))
                node.stopping = True


async def soak(options, directory):
    recorder = Recorder(random.Random(options.seed))
    subnet = 20 + options.seed % 200
    fleet = Fleet(directory, PORT, subnet, "127.0.%d.200:%d" % (subnet, PORT + 10), options.nodes)
    teams = {"team%d" % i: "key-%d-%d" % (options.seed, i) for i in range(8)}
    fleet.upstreams = [Upstream(recorder, "model%d" % i, "model", "domain-" + "abc"[i % 3],
                                "127.0.%d.%d" % (subnet, 100 + i), PORT + 20, 16) for i in range(4)]
    fleet.upstreams += [Upstream(recorder, "ledger%d" % i, "ledger", "domain-" + "abc"[i % 3],
                                 "127.0.%d.%d" % (subnet, 120 + i), PORT + 20, 8) for i in range(3)]
    for upstream in fleet.upstreams:
        await upstream.start()
    await InstanceList(fleet.upstreams, fleet.instance_list_address).start()
    links = MeshLinks(fleet.pids)
    for node in fleet.nodes:
        await links.listen(node.name, node.ip, node.port(0), node.port(1))
        node.start()
    operator = Operator(recorder, fleet, teams)
    try:
        await wait_ready(operator, fleet)
        until = time.monotonic() + options.seconds
        names = sorted(teams)
        callers = [Caller(recorder, fleet, names[i % len(names)], teams[names[i % len(names)]], i)
                   for i in range(CALLERS)]
        fault_injector = FaultInjector(recorder, fleet, links, operator, until)
        await asyncio.gather(fault_injector.run(), operator.poll_config(until),
                             check_exits(recorder, fleet, until),
                             *(caller.run(until) for caller in callers))
        await asyncio.sleep(RECOVERY_S)
        await check_recovery(recorder, fleet, operator, teams)
    finally:
        fleet.stop_all()
    return recorder


def main():
    parser = argparse.ArgumentParser(description="Randomized fault soak of real processes.")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=float, default=20, help="time with faults")
    parser.add_argument("--nodes", type=int, default=6, help="processes of the fleet, three of them voters")
    parser.add_argument("--keep", action="store_true", help="keep the logs also without a fault")
    options = parser.parse_args()
    directory = tempfile.mkdtemp(prefix="soak-%d-" % options.seed)
    recorder = asyncio.run(soak(options, directory))
    print("seed %d: %s" % (options.seed, ", ".join(
        "%s %d" % item for item in sorted(recorder.counts.items()))))
    for violation in recorder.violations:
        print("VIOLATION " + violation)
    if recorder.violations or options.keep:
        print("logs: " + directory)
    else:
        shutil.rmtree(directory, ignore_errors=True)
    print("%d passed, %d failed" % (not recorder.violations, bool(recorder.violations)))
    return 1 if recorder.violations else 0


if __name__ == "__main__":
    sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
    sys.exit(main())
