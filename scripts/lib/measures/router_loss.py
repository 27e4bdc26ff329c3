"""Seconds until dispatch goes on after the loss of the pool's grantor or of a
plain router by kill, freeze and cut, with the gap and slots beyond a limit."""

import signal
import threading
import time

from . import _common as common
from .fairness import ENGINE, backlogged_teams

SECONDS = 14
LOSS_AT = 6


class Completions(threading.Thread):
    """Samples how many requests the engines completed and what runs there."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.stopping, self.samples = fleet, False, []
        self.engines = [n for n in fleet.stand_ins if n.startswith("model")]

    def run(self):
        while not self.stopping:
            at, done, most = time.monotonic(), 0, 0
            for name in self.engines:
                stats = self.fleet.stand_in_get(name, "/admin/stats")
                done += stats["completed_total"]
                most = max(most, stats["running"])
            self.samples.append((at, done, most))
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
    """Seconds after `start` until the completion rate over 0.5 s is back at 90 %
    of that over the 2 s before."""
    def count(at):
        value = samples[0][1]
        for when, done, _ in samples:
            if when > at:
                break
            value = done
        return value
    usual = (count(start) - count(start - 2)) / 2
    at = start + 0.5
    while at < samples[-1][0]:
        if (count(at) - count(at - 0.5)) / 0.5 >= 0.9 * usual:
            return at - 0.5 - start
        at += 0.05
    return None


def lose(fleet, node, how):
    if how == "kill":
        fleet.nodes[node].signal(signal.SIGKILL)
    elif how == "freeze":
        fleet.nodes[node].signal(signal.SIGSTOP)
    else:
        others = [n for n in fleet.all_nodes() if n != node]
        fleet.cut(node, others)


def one_round(who, how, seed):
    with common.running("kereru", routers=12, engine_flags=ENGINE,
                        log_level="warning") as fleet:
        teams, weights = backlogged_teams(fleet, 12)
        grantor, leader = fleet.grantor("chat"), fleet.leader()
        if who == "plain":
            node = next(n for n in fleet.all_nodes() if n not in (grantor, leader) and n > 3)
        else:
            node = grantor
        targets = [fleet.http_address(n) for n in fleet.all_nodes() if n != node]
        load = common.Load(fleet.run_dir, teams, targets, SECONDS, seed,
                           ["--threads=2"], "loss")
        time.sleep(2)
        sampler = Completions(fleet)
        sampler.start()
        time.sleep(LOSS_AT - 2)
        lost = time.monotonic()
        lose(fleet, node, how)
        time.sleep(SECONDS - LOSS_AT)
        sampler.stopping = True
        sampler.join()
        fleet.nodes[node].signal(signal.SIGCONT)
        total = load.result()["total"]
        over = sum(fleet.stand_in_get(n, "/admin/stats")["over_bearable_total"]
                   for n in sampler.engines)
        series = load.series()
    return {"who": who, "how": how, "node": node, "was_leader": node == leader,
            "longest_pause_s": round(longest_pause(sampler.samples, lost), 2),
            "seconds_to_usual_rate": recovery_time(sampler.samples, lost),
            "gap": round(common.largest_gap(series, weights, 4, SECONDS), 1),
            "over_grants": over, "most_running_at_one_engine":
            max(s[2] for s in sampler.samples),
            "ok": total["ok"], "errors": total["errors"], "incomplete": total["incomplete"],
            "wrong": total["wrong"]}


def run(seed):
    rounds = [one_round(who, how, seed) for who in ("grantor", "plain")
              for how in ("kill", "freeze", "cut")]
    return {"rounds": rounds, "target_seconds": 2,
            "worst_pause_s": max(r["longest_pause_s"] for r in rounds),
            "over_grants": sum(r["over_grants"] for r in rounds)}
