"""Deposits with idempotency keys under faults of routers, voters and ledger
workers, and the cost of a claim against deposits without a key."""

import random
import threading
import time

from . import _common as common
from . import _faults as faults

ROUTERS = 12
RATE = 60  # deposits a second in all, so that over 2,000 meet a fault
COST_SECONDS = 5
COST_RATE = 200
COST_CALLERS = 64
PATH = "/services/ledger/deposits"
BODY = {"account": "{account}", "amount": 5, "ref": "{ref}"}
# A caller waits longer than the deadline of the service (5 s) and a claim.
TIMEOUT_MS = 12000


def deposits(fleet, arrival, key=True, teams=4):
    names = [r["name"] for r in fleet.resources if r["kind"] == "team"][:teams]
    mix = {"kind": "post", "path": PATH, "body": BODY, "timeout_ms": TIMEOUT_MS}
    if not key:
        mix["key"] = False
    return [{"name": name, "api_key": "demo-" + name, "accounts": 50, "mix": [mix],
             "arrival": {k: v / teams if k == "rate" else max(1, v // teams)
                         for k, v in arrival.items()}} for name in names]


def workers_of(fleet):
    return [r["name"] for r in fleet.resources
            if r["kind"] == "upstream" and "ledger" in r["spec"]["services"]]


def cost_of_claim(fleet, seed):
    """Alternates deposits with and without a key, twice each, in one fleet."""
    result = {}
    for run in (0, 1):
        for name, key in (("with_key", True), ("without_key", False)):
            closed = common.Load(
                fleet.run_dir, deposits(fleet, {"concurrency": COST_CALLERS}, key),
                common.targets(fleet), COST_SECONDS, seed + run, [], "closed").result()["total"]
            paced = common.Load(
                fleet.run_dir, deposits(fleet, {"rate": COST_RATE}, key),
                common.targets(fleet), COST_SECONDS, seed + run, [], "paced").result()["total"]
            result.setdefault(name, []).append(
                {"per_second": round(closed["ok"] / COST_SECONDS, 1),
                 "errors": closed["errors"], "paced_latency_ms": paced["latency_ms"]["post"]})
    last = {name: runs[-1] for name, runs in result.items()}
    with_key, without = last["with_key"], last["without_key"]
    result["throughput_ratio"] = round(with_key["per_second"] / without["per_second"], 3)
    for quantile in ("p50", "p99"):
        result["added_%s_ms" % quantile] = round(
            with_key["paced_latency_ms"][quantile] - without["paced_latency_ms"][quantile], 3)
    return result


def fault_rounds(fleet, rounds, draw):
    plain = list(range(fleet.voters + 1, fleet.router_count + 1))
    workers = workers_of(fleet)
    rounds.run("workers close after execution (30 %)", faults.worker_fault, workers,
               "close_after_execute_percent", 30)
    rounds.run("workers answer 2 s late", faults.worker_fault, workers, "delay_answer_ms", 2000)
    # Later than the deadline of the service, so that the router gives up first.
    rounds.run("workers answer 6 s late", faults.worker_fault, workers, "delay_answer_ms", 6000)
    rounds.run("worker killed", faults.restart_worker, workers[0])
    rounds.run("worker stopped", faults.pause_worker, workers[1])
    rounds.run("router killed", faults.kill_node, draw.choice(plain))
    rounds.run("router stopped", faults.pause_node, draw.choice(plain))
    rounds.run("router cut off", faults.cut_node, draw.choice(plain))
    rounds.run("leader killed", faults.kill_node, faults.current_leader(fleet))
    # A second failure right after the repair.
    rounds.run("next leader killed", faults.kill_node, faults.current_leader(fleet))
    rounds.run("leader stopped", faults.pause_node, faults.current_leader(fleet))
    rounds.run("leader cut off", faults.cut_node, faults.current_leader(fleet))
    both_fail(fleet, rounds, workers, draw.choice(plain))
    leader = faults.current_leader(fleet)
    follower = next(n for n in range(1, fleet.voters + 1) if n != leader)
    rounds.run("data directory of a voter lost", faults.lose_data, follower)


def both_fail(fleet, rounds, workers, router):
    """Leader and router fail together while workers close connections."""
    def action(fleet, leader):
        threads = [threading.Thread(target=faults.kill_node, args=(fleet, n))
                   for n in (leader, router)]
        for thread in threads:
            thread.start()
        faults.worker_fault(fleet, workers, "close_after_execute_percent", 30)
        for thread in threads:
            thread.join()
    rounds.run("leader and r%d killed, workers close" % router, action,
               faults.current_leader(fleet))


def executions(fleet):
    return fleet.stand_in_get(workers_of(fleet)[0], "/admin/executions?summary=1")


def run(seed):
    draw = random.Random(seed)
    with common.running("kereru", routers=ROUTERS, **faults.PORTS) as fleet:
        cost = cost_of_claim(fleet, seed)
        rounds = faults.Rounds(fleet)
        seconds = 14 * (faults.FAULT_SECONDS + 2)
        extra = ["--resend-percent=30", "--resend-other-router",
                 "--refs=" + fleet.run_dir + "/refs.txt", "--drain-seconds=30",
                 # The workers share one record, so one of them tells all.
                 "--check-executions=" + fleet.address_of(workers_of(fleet)[0])]
        load = common.Load(fleet.run_dir, deposits(fleet, {"rate": RATE}),
                           common.targets(fleet), seconds, seed, extra, "deposits")
        fault_rounds(fleet, rounds, draw)
        report = load.result(seconds + 120)
        faults.serving(fleet)
        # Requests that were on their way when the load ended have now run.
        time.sleep(1)
        doubles = executions(fleet)["doubles"]
    total, checked = report["total"], report["executions"]
    outcomes = total["outcomes"]
    # A connection that was never made tells the caller that nothing ran.
    known = (total["ok"] + outcomes.get("not_run", 0) +
             total["errors"].get("connect_failed", 0))
    return {"calls": total["sent"], "ok": total["ok"],
            "run_twice": max(checked["doubles"], len(doubles) if isinstance(doubles, list)
                             else doubles),
            "told_not_run_but_ran": checked["ran_after_not_run"],
            "acknowledged_but_lost": checked["lost"],
            "wrong_answers": total["wrong"], "wrong_types": total.get("wrong_types", {}),
            "share_unknown": round((total["sent"] - known) / total["sent"], 4),
            "outcomes": outcomes, "errors": total["errors"], "resends": total["resends"],
            "resend_results": total["resend_results"], "executions": checked,
            "cost_of_claim": cost, "rounds": rounds.done,
            "targets": {"calls": 2000, "run_twice": 0, "told_not_run_but_ran": 0,
                        "acknowledged_but_lost": 0, "wrong_answers": 0},
            "not_covered": ["full disk"]}
