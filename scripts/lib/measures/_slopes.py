"""Helpers for the measurements of control traffic and control CPU time: a fleet
with dedicated voters, samples of traffic, CPU time and memory, and linear fits."""

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

# Above the ephemeral port range. Otherwise an outgoing connection could occupy the
# port of a node that has not started yet.
PORTS = {"port_base": 61000, "port_shift": 41000}
ENGINE_FLAGS = ["--token-ms=10", "--first-token-ms=5", "--cold-slots=8", "--start-warm"]
TOKEN_RANGE = (8, 24)
UNCONTENDED_PER_S = 200  # a third of the capacity of 12 engines with 8 slots
CONTENDED_CALLERS = 240  # 2.5 callers per slot of 12 engines
WARM_UP_S = 1.5
WINDOW_S = 3.0
SEGMENTS_PATTERN = re.compile(r"data_segs_out:(\d+)")
PID_PATTERN = re.compile(r"pid=(\d+)")


class ControlFleet(fleets.Fleet):
    """A fleet whose voters do not route requests, so that the work of voters and
    routers can be measured separately. Voters have the lowest node ids."""

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
        """Writes the objects of one kind concurrently, because writing thousands of
        teams one after the other would take most of a run."""
        def put(item):
            status, response = self.put(item["kind"], item["name"], item["spec"], 0)
            if status != 200:
                raise RuntimeError("%s %s: %s" % (item["kind"], item["name"], response))
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            for kind in ("failure_domain", "policy", "service", "team", "upstream"):
                list(pool.map(put, [r for r in resources if r["kind"] == kind]))


@contextlib.contextmanager
def running(routers, voters=3, teams=16, engines=12, dedicated=True):
    run_dir = tempfile.mkdtemp(prefix="arbutus-capacity-")
    count = routers + voters if dedicated else routers
    fleet = ControlFleet("kereru", run_dir, routers=count, voters=voters,
                         engine_flags=ENGINE_FLAGS, log_level="warning",
                         resources=resources_of(teams, engines), **PORTS)
    fleet.dedicated = dedicated
    try:
        fleet.start()
        yield fleet
    finally:
        for process in fleet.nodes.values():
            if not process.running():
                with open(process.log, errors="replace") as text:
                    common.log("%s exited with status %s: %s" % (
                        process.name, process.child.returncode, text.read()[-500:]))
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

class SegmentCounter(threading.Thread):
    """Counts the TCP data segments that each process sends to mesh ports. The mesh
    writes each frame with one call and TCP_NODELAY, so a segment is a frame unless
    a connection is congested. Polls, because the mesh replaces connections to peers
    that do not send, and the kernel drops the counter of a closed connection."""

    PERIOD_S = 0.4

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
            process, count = PID_PATTERN.search(line), SEGMENTS_PATTERN.search(line)
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
        while not self.ended.wait(self.PERIOD_S):
            self.poll()

    def finish(self, fleet):
        """Segments and new connections per second of each node."""
        self.ended.set()
        self.join()
        self.poll()
        span = time.monotonic() - self.started
        return {n: (self.segments.get(p.pid, 0) / span, self.opened.get(p.pid, 0) / span)
                for n, p in fleet.nodes.items()}


def sample_nodes(fleet):
    nodes = {}
    for node, process in fleet.nodes.items():
        metrics = fleet.metrics(node)
        nodes[node] = {
            "at": time.monotonic(), "cpu": common.cpu_seconds(process.pid),
            "memory": common.resident_bytes(process.pid),
            "sent": metrics["arbutus_mesh_bytes_sent"],
            "received": metrics["arbutus_mesh_bytes_received"],
            "answers": metrics.get("arbutus_answers_total", 0),
            "kinds": {k[len("arbutus_mesh_bytes_sent_"):]: v for k, v in metrics.items()
                      if k.startswith("arbutus_mesh_bytes_sent_")}}
    return nodes


def rates_between(before, after):
    """Rates per second of each node between two samples; `memory` is the newer
    value."""
    rates = {}
    for node, old in before.items():
        new = after[node]
        span = new["at"] - old["at"]
        rates[node] = {k: (new[k] - old[k]) / span for k in ("cpu", "sent", "received", "answers")}
        rates[node]["memory"] = new["memory"]
        rates[node]["kinds"] = {k: (new["kinds"][k] - old["kinds"][k]) / span
                                for k in new["kinds"]}
    return rates


def measure_rates(fleet, seconds=WINDOW_S, wait=time.sleep):
    segments, before = SegmentCounter(fleet), sample_nodes(fleet)
    wait(seconds)
    rates = rates_between(before, sample_nodes(fleet))
    for node, (messages, opened) in segments.finish(fleet).items():
        rates[node].update(messages=messages, connections=opened)
    return rates


def rates_under_load(fleet, seed, name, rate=0, callers=0, seconds=WINDOW_S,
                     backlogged_teams=None):
    """Rates under load: an open-loop load of all teams (`rate`), or a closed-loop
    load of some teams, which keep a backlog (`callers`)."""
    team_names = [r["name"] for r in fleet.resources if r["kind"] == "team"]
    if callers:
        team_names = team_names[:backlogged_teams or max(2, len(team_names) // 10)]
    arrival = {"concurrency": max(1, callers // len(team_names))} if callers else {
        "rate": rate / len(team_names)}
    teams = [{"name": n, "api_key": "key-" + n, "arrival": arrival,
              "mix": common.chat_mix(common.model_of(fleet), (50, 200), TOKEN_RANGE)}
             for n in team_names]
    targets = [fleet.http_address(n) for n in fleet.routers()]
    tool = common.Load(fleet.run_dir, teams, targets, WARM_UP_S + seconds + 1, seed,
                       ["--threads=2", "--drain-seconds=2"], name)
    time.sleep(WARM_UP_S)
    rates = measure_rates(fleet, seconds)
    total = tool.result()["total"]
    return rates, {"ok": total["ok"], "errors": total["errors"], "wrong": total["wrong"]}


def measure_phases(fleet, seed):
    """Rates of each node when idle and under uncontended and contended load."""
    time.sleep(1)
    idle = measure_rates(fleet)
    uncontended, uncontended_total = rates_under_load(
        fleet, seed, "uncontended", rate=UNCONTENDED_PER_S)
    contended, contended_total = rates_under_load(
        fleet, seed, "contended", callers=CONTENDED_CALLERS)
    return {"idle": idle, "uncontended": uncontended, "contended": contended,
            "totals": {"uncontended": uncontended_total, "contended": contended_total}}


# Roles

def mean_rates(rows):
    rows = list(rows)
    keys = ("messages", "connections", "sent", "received", "cpu", "memory", "answers")
    result = {k: sum(r[k] for r in rows) / len(rows) for k in keys}
    result["kinds"] = {k: sum(r["kinds"][k] for r in rows) / len(rows)
                       for k in rows[0]["kinds"]}
    return result


def by_role(fleet, rates):
    """Mean rates of each role. `grantor` is the whole process of the router that is
    the grantor of the chat pool."""
    leader, grantors = fleet.leader(), {fleet.grantor("chat"), fleet.grantor("ledger")}
    routers = [n for n in fleet.routers() if n not in grantors] or list(fleet.routers())
    followers = [n for n in range(1, fleet.voters + 1) if n != leader]
    roles = {"router": mean_rates(rates[n] for n in routers),
             "grantor": mean_rates([rates[fleet.grantor("chat")]]),
             "leader": mean_rates([rates[leader]])}
    if followers:
        roles["follower"] = mean_rates(rates[n] for n in followers)
    return roles


# Fits

def fit(points):
    """Least squares y = intercept + slope x, with the standard error of the
    slope, the largest residual relative to the largest y, and R squared."""
    count = len(points)
    mean_x, mean_y = sum(x for x, _ in points) / count, sum(y for _, y in points) / count
    sxx = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sxx
    intercept = mean_y - slope * mean_x
    residuals = [y - intercept - slope * x for x, y in points]
    residual_squares, total = (sum(r * r for r in residuals),
                               sum((y - mean_y) ** 2 for _, y in points))
    error = (residual_squares / (count - 2) / sxx) ** 0.5 if count > 2 else float("nan")
    largest_y = max(abs(y) for _, y in points)
    return {"slope": slope, "intercept": intercept, "slope_error": error,
            "r2": 1 - residual_squares / total if total else 1.0,
            "residual": max(map(abs, residuals)) / largest_y if largest_y else 0.0,
            "range": [min(x for x, _ in points), max(x for x, _ in points)],
            "points": [[x, y] for x, y in points]}


def rounded(value):
    """Rounds all numbers in the value to five significant digits."""
    if isinstance(value, dict):
        return {k: rounded(v) for k, v in value.items()}
    if isinstance(value, (list, tuple)):
        return [rounded(v) for v in value]
    return float("%.5g" % value) if isinstance(value, float) else value
