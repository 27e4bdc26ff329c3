"""Seconds from the loss of the leader to the next accepted write, and the
restart time of a voter after few and after many changes."""

import os
import signal
import time
from http.client import HTTPException

import fleet as fleets
from . import _common as common
from . import _faults as faults

ROUNDS = 5  # of each kind of loss
CHANGES = (1000, 10000)
RESTARTS = 5  # of each size; the median counts
TARGETS = {"accepted_write_s": 2.0, "restart": "flat in the number of changes"}


def write_until_accepted(fleet, nodes, start, number):
    """Sends one write after the other, at one node after the other, until one
    is accepted; returns the seconds since start. Each has its own request id,
    so that only a write made after the loss counts."""
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


def lose_leader(fleet, kind, number):
    """Breaks the leader and measures from the moment of its loss."""
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
    faults.serving(fleet)
    return seconds


def changes(fleet, count, done):
    """Makes changes until the fleet has accepted `count` in all."""
    name = next(r["name"] for r in fleet.resources if r["kind"] == "team")
    current = fleet.get("team", name)
    while done < count:
        spec = dict(current["spec"], queue_length=1000 + done % 1000)
        status, answer = fleet.put("team", name, spec, current["version"])
        if status == 200:
            current, done = answer["object"], done + 1
        else:
            current = fleet.get("team", name)
    return done


def applied(fleet, node):
    return fleet.metrics(node).get("arbutus_log_applied", 0)


def restart_times(fleet, node, leader):
    """Seconds from the start of a voter to its first answer, and until it has
    applied what the leader had applied before the restart."""
    first, caught_up = [], []
    for _ in range(RESTARTS):
        newest = applied(fleet, leader)
        faults.crash_node(fleet, node)
        start = time.monotonic()
        fleet.start_node(node)
        fleets.wait_for(lambda: fleet.metrics(node) is not None, 60, "answer")
        first.append(time.monotonic() - start)
        fleets.wait_for(lambda: applied(fleet, node) >= newest, 60, "applied log")
        caught_up.append(time.monotonic() - start)
    return {"first_answer_s": middle(first), "caught_up_s": middle(caught_up),
            "caught_up_all_s": [round(t, 3) for t in caught_up]}


def middle(values):
    return round(sorted(values)[len(values) // 2], 3)


def data_bytes(fleet, node):
    return sum(os.path.getsize(os.path.join(folder, name))
               for folder, _, names in os.walk(fleet.run_dir + "/data-%d" % node)
               for name in names)


def run(seed):
    result, losses = {}, {}
    with common.running("kereru", routers=12, **faults.PORTS) as fleet:
        for kind in ("kill -9", "SIGSTOP", "cut off"):
            times = [lose_leader(fleet, kind, seed * 1000 + i) for i in range(ROUNDS)]
            common.log("%s: %s" % (kind, times))
            known = [t for t in times if t is not None]
            losses[kind] = {"rounds_s": [t and round(t, 3) for t in times],
                            "median_s": middle(known) if known else None,
                            "worst_s": max(known) if len(known) == len(times) else None}
    with common.running("kereru", routers=3, log_level="warning", **faults.PORTS) as fleet:
        done, sizes = 0, []
        for count in CHANGES:
            done = changes(fleet, count, done)
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
