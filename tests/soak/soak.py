"""Randomized fault soak: real processes on loopback, faults from outside them,
and the fleet's promises checked while it runs, from what callers, operators
and upstreams see. One seed gives one sequence of faults; their exact moments
depend on the machine. Exit status 1 means that a promise was broken.

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
from world import World

PORT = 18400      # below the ephemeral ports
CALLERS = 12
RECOVER_S = 12    # service is back this long after the last fault
START_S = 30      # generous deadline for the first start
CALM_REQUESTS = 60
CALM_SHARE = 0.9


class Chaos:
    """Draws faults and carries them out. At most one voter is lost at a time,
    as three voters bear; routers, upstreams and links have faults at any time."""

    def __init__(self, world, fleet, links, operator, until):
        self.world, self.fleet, self.links = world, fleet, links
        self.operator, self.until = operator, until
        self.busy, self.voter_busy = set(), asyncio.Lock()
        self.jobs = []

    def log(self, text):
        print("%7.2f s  %s" % (time.monotonic() - self.world.start, text), flush=True)

    async def run(self):
        draw = self.world.random
        faults = (self.kill, self.kill, self.terminate, self.terminate, self.pause, self.wipe,
                  self.full_disk, self.cut_links, self.cut_links, self.delay_links, self.reset_links,
                  self.crash_upstream, self.upstream_fault, self.upstream_fault, self.drain_upstream,
                  self.config_series, self.config_series, self.evacuate, self.revoke)
        while time.monotonic() < self.until:
            fault = draw.choice(faults)
            seconds = draw.uniform(0.3, 4.0)
            self.jobs.append(asyncio.ensure_future(fault(seconds)))
            # Faults come in series and overlap.
            await asyncio.sleep(draw.choice((0.05, 0.3, 1.0, 2.0)))
        await asyncio.gather(*self.jobs)

    # Processes

    async def with_node(self, job, voters_too=True):
        free = [n for n in self.fleet.nodes if n not in self.busy and (voters_too or not n.voter)]
        if not free:
            return
        node = self.world.random.choice(free)
        if node.voter and self.voter_busy.locked():
            return
        self.busy.add(node)
        try:
            if not node.voter:
                await job(node)
            else:
                async with self.voter_busy:
                    await job(node)
                    await asyncio.sleep(RECOVER_S / 3)  # it catches up before the next loss
        finally:
            self.busy.discard(node)

    async def kill(self, seconds):
        async def job(node):
            self.log("kill " + node.name)
            node.kill()
            await asyncio.sleep(seconds)
            node.start()
        await self.with_node(job)

    async def wipe(self, seconds):
        async def job(node):
            self.log("kill and wipe " + node.name)
            node.kill()
            node.wipe()
            await asyncio.sleep(seconds)
            node.start()
        await self.with_node(job)

    async def terminate(self, seconds):
        async def job(node):
            self.log("terminate " + node.name)
            node.terminate()
            end = time.monotonic() + GRACE_S
            while node.alive and time.monotonic() < end:
                await asyncio.sleep(0.05)
            if node.alive:
                self.world.violate("SHUTDOWN", node.name + " outlived its grace period")
                node.kill()
            await asyncio.sleep(seconds / 4)
            node.start()
        await self.with_node(job)

    async def pause(self, seconds):
        async def job(node):
            self.log("pause %s for %.1f s" % (node.name, seconds))
            node.pause()
            await asyncio.sleep(seconds)
            node.resume()
        await self.with_node(job)

    async def full_disk(self, seconds):
        async def job(node):
            if not node.voter:
                return
            self.log("files of %s cannot grow for %.1f s" % (node.name, seconds))
            node.limit_files(1)
            await asyncio.sleep(seconds)
            node.limit_files(-1)
        await self.with_node(job)

    # Links

    async def with_links(self, name, begin, seconds):
        async def job(node):
            self.fleet.link_faults += 1
            node.marks += 1
            self.log("%s %s for %.1f s" % (name, node.name, seconds))
            for other in self.fleet.nodes:
                if other is not node:
                    begin(node.name, other.name)
            await asyncio.sleep(seconds)
            self.links.heal()
            self.fleet.link_faults += 1
        await self.with_node(job)

    async def cut_links(self, seconds):
        way = self.world.random.choice(("in", "out", "both"))

        def begin(name, other):
            if way != "in":
                self.links.cut(name, other)
            if way != "out":
                self.links.cut(other, name)
        await self.with_links("cut (%s)" % way, begin, seconds)

    async def delay_links(self, seconds):
        wait = self.world.random.uniform(0.02, 0.4)

        def begin(name, other):
            self.links.delay(name, other, wait)
            self.links.delay(other, name, wait)
        await self.with_links("delay by %.2f s" % wait, begin, seconds)

    async def reset_links(self, _seconds):
        async def job(node):
            self.log("reset links of " + node.name)
            self.fleet.link_faults += 1
            self.links.reset(node.name)
        await self.with_node(job)

    # Upstreams

    def pick_upstream(self):
        sound = [u for u in self.fleet.upstreams if not u.mode and not u.draining and u.server]
        return self.world.random.choice(sound) if len(sound) > 2 else None

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
        upstream.mode = self.world.random.choice(("dark", "errors", "cut", "extra"))
        self.log("%s: %s for %.1f s" % (upstream.id, upstream.mode, seconds))
        await asyncio.sleep(seconds)
        upstream.mode = ""
        self.fleet.upstream_fault_at = time.monotonic()

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
        for _ in range(self.world.random.randint(1, 5)):
            await self.operator.configure()

    async def evacuate(self, seconds):
        if self.world.evacuated:
            return
        domain = self.world.random.choice([n.domain for n in self.fleet.nodes])
        self.log("evacuate " + domain)
        await self.operator.evacuate(domain, 5.0 + seconds, self.until)

    async def revoke(self, _seconds):
        if len(self.operator.teams) <= 4:
            return
        team = self.world.random.choice(sorted(self.operator.teams))
        self.log("revoke the key of " + team)
        await self.operator.revoke(team, self.until + RECOVER_S)


async def wait_ready(operator, fleet):
    """The first configuration is acknowledged and readable at every node."""
    await operator.configure(time.monotonic() + START_S)
    end = time.monotonic() + START_S
    for node in fleet.nodes:
        while not await operator.read_once(node):
            if time.monotonic() > end:
                raise TimeoutError(node.name + " did not start")
            await asyncio.sleep(0.1)


async def check_calm(world, fleet, operator, teams):
    """After the last fault callers are served and the newest order is shown."""
    served = 0
    names = [t for t in teams if t not in world.revoking]
    callers = [Caller(world, fleet, t, teams[t], 900 + i) for i, t in enumerate(names)]
    before = world.counts.get("200", 0)
    for number in range(CALM_REQUESTS):
        await callers[number % len(callers)].request(("stream", "unsafe", "safe")[number % 3])
    served = world.counts.get("200", 0) - before
    for caller in callers:
        caller.close()
    if served < CALM_SHARE * CALM_REQUESTS:
        world.violate("RECOVER", "%d of %d served after the last fault" % (served, CALM_REQUESTS))
    for node in fleet.nodes:
        if not await operator.read_once(node):
            world.violate("CONFIG", node.name + " shows no configuration at the end")


async def check_exits(world, fleet, until):
    while time.monotonic() < until:
        await asyncio.sleep(0.2)
        for node in fleet.nodes:
            code = node.child.poll()
            if node.ended_by_itself() and code != -9:
                world.violate("EXIT", "%s ended by itself with status %d" % (node.name, code))
                node.stopping = True


async def soak(options, folder):
    world = World(random.Random(options.seed))
    net = 20 + options.seed % 200
    fleet = Fleet(folder, PORT, net, "127.0.%d.200:%d" % (net, PORT + 10), options.nodes)
    teams = {"team%d" % i: "key-%d-%d" % (options.seed, i) for i in range(8)}
    fleet.upstreams = [Upstream(world, "model%d" % i, "model", "domain-" + "abc"[i % 3],
                                "127.0.%d.%d" % (net, 100 + i), PORT + 20, 16) for i in range(4)]
    fleet.upstreams += [Upstream(world, "ledger%d" % i, "ledger", "domain-" + "abc"[i % 3],
                                 "127.0.%d.%d" % (net, 120 + i), PORT + 20, 8) for i in range(3)]
    for upstream in fleet.upstreams:
        await upstream.start()
    await InstanceList(fleet.upstreams, fleet.list_address).start()
    links = MeshLinks(fleet.pids)
    for node in fleet.nodes:
        await links.listen(node.name, node.ip, node.port(0), node.port(1))
        node.start()
    operator = Operator(world, fleet, teams)
    try:
        await wait_ready(operator, fleet)
        until = time.monotonic() + options.seconds
        names = sorted(teams)
        callers = [Caller(world, fleet, names[i % len(names)], teams[names[i % len(names)]], i)
                   for i in range(CALLERS)]
        chaos = Chaos(world, fleet, links, operator, until)
        await asyncio.gather(chaos.run(), operator.read_back(until),
                             check_exits(world, fleet, until),
                             *(caller.run(until) for caller in callers))
        await asyncio.sleep(RECOVER_S)
        await check_calm(world, fleet, operator, teams)
    finally:
        fleet.end()
    return world


def main():
    parser = argparse.ArgumentParser(description="Randomized fault soak of real processes.")
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seconds", type=float, default=20, help="time with faults")
    parser.add_argument("--nodes", type=int, default=6, help="processes of the fleet, three of them voters")
    parser.add_argument("--keep", action="store_true", help="keep the logs also without a fault")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="soak-%d-" % options.seed)
    world = asyncio.run(soak(options, folder))
    print("seed %d: %s" % (options.seed, ", ".join("%s %d" % item for item in sorted(world.counts.items()))))
    for violation in world.violations:
        print("VIOLATION " + violation)
    if world.violations or options.keep:
        print("logs: " + folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
    print("%d passed, %d failed" % (not world.violations, bool(world.violations)))
    return 1 if world.violations else 0


if __name__ == "__main__":
    sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
    sys.exit(main())
