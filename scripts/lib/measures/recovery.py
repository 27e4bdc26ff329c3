"""Seconds from the loss of the leader to the next accepted write, and the restart
time of a voter after few and after many changes."""

import os
import signal
import time
from http.client import HTTPException

import fleet as fleets
from . import _common as common
from . import _faults as faults

ROUNDS = 5  # per kind of failure
CHANGE_COUNTS = (1000, 10000)
RESTARTS = 5  # per number of changes; the result is the median
TARGETS = {"accepted_write_s": 2.0, "restart": "flat in the number of changes"}


def write_until_accepted(fleet, nodes, start, number):
    """Sends writes to the nodes in turn until one is accepted; returns the seconds
    since start. Each write has its own request id, so that a write made before the
    failure cannot be replayed as accepted."""
    name = next(r["name"] for r in fleet.resources if r["kind"] == "team")
    attempt = 0
    while time.monotonic() < start + 30:
        node = nodes[attempt % len(nodes)]
        attempt += 1
        try:
            status, current = fleet.api("GET", "/api/v1/team/" + name, None, node, timeout=6)
            if status != 200:
                continue
            spec = dict(current["spec"], queue_length=1000 + number % 1000 + attempt)
            status, _ = fleet.put("team", name, spec, current["version"],
                                  "recovery-%d-%d" % (number, time.time_ns()), node)
            if status == 200:
                return time.monotonic() - start
        except (OSError, ValueError, HTTPException):
            pass
    return None


def fail_leader(fleet, kind, number):
    """Makes the leader fail and returns the seconds until the next accepted write."""
    leader = faults.current_leader(fleet)
    nodes = [n for n in fleet.all_nodes() if n > fleet.voters]
    others = [n for n in fleet.all_nodes() if n != leader]
    start = time.monotonic()
    if kind == "kill -9":
        fleet.nodes[leader].signal(signal.SIGKILL)
    elif kind == "SIGSTOP":
        fleet.nodes[leader].signal(signal.SIGSTOP)
    else:
        fleet.cut(leader, others)
    seconds = write_until_accepted(fleet, nodes, start, number)
    if kind == "kill -9":
        fleet.nodes[leader].wait(5)
        fleet.start_node(leader)
    elif kind == "SIGSTOP":
        fleet.nodes[leader].signal(signal.SIGCONT)
    else:
        fleet.cut(leader, [])
    faults.wait_serving(fleet)
    return seconds


def make_changes(fleet, count, done):
    """Makes changes until the fleet has accepted `count` changes in total."""
    name = next(r["name"] for r in fleet.resources if r["kind"] == "team")
    current = fleet.get("team", name)
    while done < count:
        spec = dict(current["spec"], queue_length=1000 + done % 1000)
        status, response = fleet.put("team", name, spec, current["version"])
        if status == 200:
            current, done = response["object"], done + 1
        else:
            current = fleet.get("team", name)
    return done


def applied_index(fleet, node):
    return fleet.metrics(node).get("arbutus_log_applied", 0)


def restart_times(fleet, node, leader):
    """Seconds from the start of a voter to its first response, and until it has
    applied the log up to the index that the leader had applied before the restart."""
    first, caught_up = [], []
    for _ in range(RESTARTS):
        newest = applied_index(fleet, leader)
        faults.crash_node(fleet, node)
        start = time.monotonic()
        fleet.start_node(node)
        fleets.wait_for(lambda: fleet.metrics(node) is not None, 60, "the first response")
        first.append(time.monotonic() - start)
        fleets.wait_for(lambda: applied_index(fleet, node) >= newest, 60, "applied log")
        caught_up.append(time.monotonic() - start)
    return {"first_answer_s": median(first), "caught_up_s": median(caught_up),
            "caught_up_all_s": [round(t, 3) for t in caught_up]}


def median(values):
    return round(sorted(values)[len(values) // 2], 3)


def data_bytes(fleet, node):
    return sum(os.path.getsize(os.path.join(directory, name))
               for directory, _, names in os.walk(fleet.run_dir + "/data-%d" % node)
               for name in names)


def run(seed):
    result, losses = {}, {}
    with common.running("kereru", routers=12, **faults.PORTS) as fleet:
        for kind in ("kill -9", "SIGSTOP", "cut off"):
            times = [fail_leader(fleet, kind, seed * 1000 + i) for i in range(ROUNDS)]
            common.log("%s: %s" % (kind, times))
            recovered = [t for t in times if t is not None]
            losses[kind] = {"rounds_s": [t and round(t, 3) for t in times],
                            "median_s": median(recovered) if recovered else None,
                            "worst_s": max(recovered) if len(recovered) == len(times) else None}
    with common.running("kereru", routers=3, log_level="warning", **faults.PORTS) as fleet:
        done, sizes = 0, []
        for count in CHANGE_COUNTS:
            done = make_changes(fleet, count, done)
            leader = faults.current_leader(fleet)
            follower = next(n for n in range(1, fleet.voters + 1) if n != leader)
            sizes.append(dict(changes=done, data_bytes=data_bytes(fleet, follower),
                              **restart_times(fleet, follower, leader)))
            common.log(str(sizes[-1]))
    result["leader_loss"] = losses
    result["restart"] = sizes
    result["restart_ratio"] = round(sizes[-1]["caught_up_s"] / sizes[0]["caught_up_s"], 3)
    result["targets"] = TARGETS
    return result
