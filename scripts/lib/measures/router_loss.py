"""Longest pause of dispatch after the grantor of a pool or another router is killed,
paused or partitioned, with the service gap between teams and the number of
requests beyond an engine's capacity."""

import signal
import threading
import time

from . import _common as common
from .fairness import ENGINE_FLAGS, backlogged_teams

DURATION_S = 14
LOSS_AT_S = 6


class CompletionSampler(threading.Thread):
    """Samples how many requests the engines have completed and are running."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.stopping, self.samples = fleet, False, []
        self.engines = [n for n in fleet.stand_ins if n.startswith("model")]

    def run(self):
        while not self.stopping:
            at, done, max_running = time.monotonic(), 0, 0
            for name in self.engines:
                stats = self.fleet.stand_in_get(name, "/admin/stats")
                done += stats["completed_total"]
                max_running = max(max_running, stats["running"])
            self.samples.append((at, done, max_running))
            time.sleep(0.02)


def longest_pause(samples, start):
    """Longest time without a completed request after `start`, in seconds."""
    pause, last = 0.0, start
    for (before, after) in zip(samples, samples[1:]):
        if after[0] < start:
            continue
        if after[1] > before[1]:
            last = after[0]
        pause = max(pause, after[0] - last)
    return pause


def recovery_time(samples, start):
    """Seconds after `start` until the completion rate over 0.5 s is 90 % of the rate
    over the 2 s before `start`."""
    def count(at):
        value = samples[0][1]
        for when, done, _ in samples:
            if when > at:
                break
            value = done
        return value
    usual_rate = (count(start) - count(start - 2)) / 2
    at = start + 0.5
    while at < samples[-1][0]:
        if (count(at) - count(at - 0.5)) / 0.5 >= 0.9 * usual_rate:
            return at - 0.5 - start
        at += 0.05
    return None


def fail_node(fleet, node, failure):
    if failure == "kill":
        fleet.nodes[node].signal(signal.SIGKILL)
    elif failure == "freeze":
        fleet.nodes[node].signal(signal.SIGSTOP)
    else:
        others = [n for n in fleet.all_nodes() if n != node]
        fleet.cut(node, others)


def measure_round(role, failure, seed):
    with common.running("kereru", routers=12, engine_flags=ENGINE_FLAGS,
                        log_level="warning") as fleet:
        teams, weights = backlogged_teams(fleet, 12)
        grantor, leader = fleet.grantor("chat"), fleet.leader()
        if role == "plain":
            node = next(n for n in fleet.all_nodes() if n not in (grantor, leader) and n > 3)
        else:
            node = grantor
        targets = [fleet.http_address(n) for n in fleet.all_nodes() if n != node]
        load = common.Load(fleet.run_dir, teams, targets, DURATION_S, seed,
                           ["--threads=2"], "loss")
        time.sleep(2)
        sampler = CompletionSampler(fleet)
        sampler.start()
        time.sleep(LOSS_AT_S - 2)
        lost = time.monotonic()
        fail_node(fleet, node, failure)
        time.sleep(DURATION_S - LOSS_AT_S)
        sampler.stopping = True
        sampler.join()
        fleet.nodes[node].signal(signal.SIGCONT)
        total = load.result()["total"]
        over_limit = sum(fleet.stand_in_get(n, "/admin/stats")["over_bearable_total"]
                         for n in sampler.engines)
        series = load.series()
    return {"who": role, "how": failure, "node": node, "was_leader": node == leader,
            "longest_pause_s": round(longest_pause(sampler.samples, lost), 2),
            "seconds_to_usual_rate": recovery_time(sampler.samples, lost),
            "gap": round(common.largest_service_gap(series, weights, 4, DURATION_S), 1),
            "over_grants": over_limit, "most_running_at_one_engine":
            max(s[2] for s in sampler.samples),
            "ok": total["ok"], "errors": total["errors"], "incomplete": total["incomplete"],
            "wrong": total["wrong"]}


def run(seed):
    rounds = [measure_round(role, failure, seed) for role in ("grantor", "plain")
              for failure in ("kill", "freeze", "cut")]
    return {"rounds": rounds, "target_seconds": 2,
            "worst_pause_s": max(r["longest_pause_s"] for r in rounds),
            "over_grants": sum(r["over_grants"] for r in rounds)}
