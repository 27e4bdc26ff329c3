"""Parts that the measurements of control work share: a fleet with dedicated
control nodes, samples of traffic, processor time and memory, and fits."""

import concurrent.futures
import contextlib
import copy
import os
import re
import shutil
import subprocess
import tempfile
import threading
import time

import fleet as fleets
from . import _common as common

# Above the usual range of local ports of outgoing connections, which would
# otherwise hold the ports of nodes that have not started yet.
PORTS = {"port_base": 61000, "port_shift": 41000}
ENGINE = ["--token-ms=10", "--first-token-ms=5", "--cold-slots=8", "--start-warm"]
TOKENS = (8, 24)
UNCONTENDED_RATE = 200   # a third of what 12 engines of 8 slots serve
CONTENDED_CALLERS = 240  # 2.5 callers per slot of 12 engines
WARM_UP = 1.5
WINDOW = 3.0
SEGMENTS = re.compile(r"data_segs_out:(\d+)")
PROCESS = re.compile(r"pid=(\d+)")


class ControlFleet(fleets.Fleet):
    """A fleet whose voters are processes of their own, so that the work of a
    voter is told from that of a router. Voters have the first numbers."""

    dedicated = True

    def routers(self):
        first = self.voters + 1 if self.dedicated else 1
        return range(first, self.router_count + 1)

    def write_settings(self, node):
        super().write_settings(node)
        if self.dedicated and node <= self.voters:
            path = self.settings_path(node)
            with open(path) as text:
                content = text.read().replace('["router", "control"]', '["control"]')
            with open(path, "w") as out:
                out.write(content)

    def serving(self, node):
        return node not in self.routers() or super().serving(node)

    def apply(self, resources):
        """Writes the objects of one kind at the same time; thousands of teams
        one after the other would take most of a run."""
        def put(item):
            status, answer = self.put(item["kind"], item["name"], item["spec"], 0)
            if status != 200:
                raise RuntimeError("%s %s: %s" % (item["kind"], item["name"], answer))
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for kind in ("failure_domain", "policy", "service", "team", "upstream"):
                list(pool.map(put, [r for r in resources if r["kind"] == kind]))


@contextlib.contextmanager
def running(routers, voters=3, teams=16, engines=12, dedicated=True):
    run_dir = tempfile.mkdtemp(prefix="arbutus-capacity-")
    count = routers + voters if dedicated else routers
    fleet = ControlFleet("kereru", run_dir, routers=count, voters=voters,
                         engine_flags=ENGINE, log_level="warning",
                         resources=resources_of(teams, engines), **PORTS)
    fleet.dedicated = dedicated
    try:
        fleet.start()
        yield fleet
    finally:
        for process in fleet.nodes.values():
            if not process.running():
                with open(process.log, errors="replace") as text:
                    common.log("%s ended with %s: %s" % (process.name, process.child.returncode,
                                                        text.read()[-500:]))
        fleet.stop()
        shutil.rmtree(run_dir, ignore_errors=True)


def resources_of(teams, engines):
    """The kereru resources with other numbers of teams and engines."""
    base = fleets.Fleet("kereru", tempfile.gettempdir()).resources
    team = next(r for r in base if r["kind"] == "team")
    engine = next(r for r in base if r["kind"] == "upstream" and
                  r["spec"]["services"] == ["chat"])
    domains = [r["name"] for r in base if r["kind"] == "failure_domain"]
    result = [r for r in base if r["kind"] != "team" and
              not (r["kind"] == "upstream" and r["spec"]["services"] == ["chat"])]
    for i in range(teams):
        item = copy.deepcopy(team)
        item["name"] = "school-%d" % i
        item["spec"].update(weight=1, api_key_hashes=[fleets.sha256("key-school-%d" % i)])
        result.append(item)
    for i in range(engines):
        item = copy.deepcopy(engine)
        item["name"] = "model-%03d" % i
        item["spec"].update(address="127.0.0.1:%d" % (21301 + i),
                            failure_domain=domains[i % len(domains)])
        result.append(item)
    return result


# Samples

class Segments(threading.Thread):
    """Counts the data segments that each process sends to mesh ports. The mesh
    sends a frame with one call and without delay, so a segment is a frame
    unless a connection is congested. Polls, because the mesh replaces its
    connections to peers that do not send, and a counter ends with its
    connection."""

    PERIOD = 0.4

    def __init__(self, fleet):
        super().__init__(daemon=True)
        first = fleet.port_base + 500
        self.command = ["ss", "-tinpHO", "state", "established",
                        "dport >= :%d and dport <= :%d" % (first, first + 499)]
        self.segments, self.opened, self.ended = {}, {}, threading.Event()
        self.last, self.started = self.read(), time.monotonic()
        self.start()

    def read(self):
        lines = subprocess.run(self.command, check=True, capture_output=True, text=True).stdout
        found = {}
        for line in lines.splitlines():
            process, count = PROCESS.search(line), SEGMENTS.search(line)
            if process:
                fields = line.split()
                found[int(process.group(1)), fields[2], fields[3]] = (
                    int(count.group(1)) if count else 0)
        return found

    def poll(self):
        now = self.read()
        for key, count in now.items():
            if key not in self.last:
                self.opened[key[0]] = self.opened.get(key[0], 0) + 1
            self.segments[key[0]] = (self.segments.get(key[0], 0) + count -
                                     self.last.get(key, 0))
        self.last = now

    def run(self):
        while not self.ended.wait(self.PERIOD):
            self.poll()

    def finish(self, fleet):
        """Segments and new connections a second of each node."""
        self.ended.set()
        self.join()
        self.poll()
        span = time.monotonic() - self.started
        return {n: (self.segments.get(p.pid, 0) / span, self.opened.get(p.pid, 0) / span)
                for n, p in fleet.nodes.items()}


def sample(fleet):
    nodes = {}
    for node, process in fleet.nodes.items():
        row = fleet.metrics(node)
        nodes[node] = {
            "at": time.monotonic(), "cpu": common.cpu_seconds(process.pid),
            "memory": common.resident_bytes(process.pid),
            "sent": row["arbutus_mesh_bytes_sent"],
            "received": row["arbutus_mesh_bytes_received"],
            "answers": row.get("arbutus_answers_total", 0),
            "kinds": {k[len("arbutus_mesh_bytes_sent_"):]: v for k, v in row.items()
                      if k.startswith("arbutus_mesh_bytes_sent_")}}
    return nodes


def difference(before, after):
    """Rates per second of each node between two samples, except `memory`."""
    rates = {}
    for node, old in before.items():
        new = after[node]
        span = new["at"] - old["at"]
        rates[node] = {k: (new[k] - old[k]) / span for k in ("cpu", "sent", "received", "answers")}
        rates[node]["memory"] = new["memory"]
        rates[node]["kinds"] = {k: (new["kinds"][k] - old["kinds"][k]) / span
                                for k in new["kinds"]}
    return rates


def window(fleet, seconds=WINDOW, work=time.sleep):
    segments, before = Segments(fleet), sample(fleet)
    work(seconds)
    rates = difference(before, sample(fleet))
    for node, (messages, opened) in segments.finish(fleet).items():
        rates[node].update(messages=messages, connections=opened)
    return rates


def load(fleet, seed, name, rate=0, callers=0, seconds=WINDOW, backlogged=None):
    """Rates under load: open arrivals of all teams, or closed callers of a
    part of the teams, which keep a backlog."""
    names = [r["name"] for r in fleet.resources if r["kind"] == "team"]
    if callers:
        names = names[:backlogged or max(2, len(names) // 10)]
    part = {"concurrency": max(1, callers // len(names))} if callers else {
        "rate": rate / len(names)}
    teams = [{"name": n, "api_key": "key-" + n, "arrival": part,
              "mix": common.chat_mix(common.model_of(fleet), (50, 200), TOKENS)} for n in names]
    targets = [fleet.http_address(n) for n in fleet.routers()]
    tool = common.Load(fleet.run_dir, teams, targets, WARM_UP + seconds + 1, seed,
                       ["--threads=2", "--drain-seconds=2"], name)
    time.sleep(WARM_UP)
    rates = window(fleet, seconds)
    total = tool.result()["total"]
    return rates, {"ok": total["ok"], "errors": total["errors"], "wrong": total["wrong"]}


def phases(fleet, seed):
    """Rates of each node when idle, under uncontended and contended load."""
    time.sleep(1)
    idle = window(fleet)
    calm, calm_total = load(fleet, seed, "uncontended", rate=UNCONTENDED_RATE)
    busy, busy_total = load(fleet, seed, "contended", callers=CONTENDED_CALLERS)
    return {"idle": idle, "uncontended": calm, "contended": busy,
            "totals": {"uncontended": calm_total, "contended": busy_total}}


# Roles

def mean(rows):
    rows = list(rows)
    keys = ("messages", "connections", "sent", "received", "cpu", "memory", "answers")
    result = {k: sum(r[k] for r in rows) / len(rows) for k in keys}
    result["kinds"] = {k: sum(r["kinds"][k] for r in rows) / len(rows)
                       for k in rows[0]["kinds"]}
    return result


def by_role(fleet, rates):
    """Mean rates of each role. `grantor` is the whole process of the router
    that grants the chat pool."""
    leader, grantors = fleet.leader(), {fleet.grantor("chat"), fleet.grantor("ledger")}
    routers = [n for n in fleet.routers() if n not in grantors] or list(fleet.routers())
    followers = [n for n in range(1, fleet.voters + 1) if n != leader]
    roles = {"router": mean(rates[n] for n in routers),
             "grantor": mean([rates[fleet.grantor("chat")]]),
             "leader": mean([rates[leader]])}
    if followers:
        roles["follower"] = mean(rates[n] for n in followers)
    return roles


# Fits

def fit(points):
    """Least squares y = intercept + slope x, with the standard error of the
    slope, the largest residual relative to the largest y, and R squared."""
    count = len(points)
    mx, my = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    sxx = sum((x - mx) ** 2 for x, _ in points)
    slope = sum((x - mx) * (y - my) for x, y in points) / sxx
    intercept = my - slope * mx
    rest = [y - intercept - slope * x for x, y in points]
    square, total = sum(r * r for r in rest), sum((y - my) ** 2 for _, y in points)
    error = (square / (count - 2) / sxx) ** 0.5 if count > 2 else float("nan")
    largest = max(abs(y) for _, y in points)
    return {"slope": slope, "intercept": intercept, "slope_error": error,
            "r2": 1 - square / total if total else 1.0,
            "residual": max(map(abs, rest)) / largest if largest else 0.0,
            "range": [min(x for x, _ in points), max(x for x, _ in points)],
            "points": [[x, y] for x, y in points]}


def rounded(value):
    """The value with five significant digits in all its numbers."""
    if isinstance(value, dict):
        return {k: rounded(v) for k, v in value.items()}
    if isinstance(value, (list, tuple)):
        return [rounded(v) for v in value]
    return float("%.5g" % value) if isinstance(value, float) else value
