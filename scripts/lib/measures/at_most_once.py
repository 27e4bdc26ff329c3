"""Deposits with idempotency keys under faults of routers, voters and ledger
workers, and the cost of claiming a key compared with deposits without a key."""

import random
import threading
import time

from . import _common as common
from . import _faults as faults

ROUTERS = 12
RATE_PER_S = 60  # total deposits; more than 2,000 coincide with a fault
COST_S = 5
COST_RATE_PER_S = 200
COST_CALLERS = 64
PATH = "/services/ledger/deposits"
BODY = {"account": "{account}", "amount": 5, "ref": "{ref}"}
# Longer than the deadline of the service (5 s) plus a claim.
TIMEOUT_MS = 12000


def deposits(fleet, arrival, send_key=True, teams=4):
    names = [r["name"] for r in fleet.resources if r["kind"] == "team"][:teams]
    mix = {"kind": "post", "path": PATH, "body": BODY, "timeout_ms": TIMEOUT_MS}
    if not send_key:
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
        for name, send_key in (("with_key", True), ("without_key", False)):
            closed_loop = common.Load(
                fleet.run_dir, deposits(fleet, {"concurrency": COST_CALLERS}, send_key),
                common.targets(fleet), COST_S, seed + run, [], "closed").result()["total"]
            fixed_rate = common.Load(
                fleet.run_dir, deposits(fleet, {"rate": COST_RATE_PER_S}, send_key),
                common.targets(fleet), COST_S, seed + run, [], "paced").result()["total"]
            result.setdefault(name, []).append(
                {"per_second": round(closed_loop["ok"] / COST_S, 1),
                 "errors": closed_loop["errors"],
                 "paced_latency_ms": fixed_rate["latency_ms"]["post"]})
    last = {name: runs[-1] for name, runs in result.items()}
    with_key, without = last["with_key"], last["without_key"]
    result["throughput_ratio"] = round(with_key["per_second"] / without["per_second"], 3)
    for quantile in ("p50", "p99"):
        result["added_%s_ms" % quantile] = round(
            with_key["paced_latency_ms"][quantile] - without["paced_latency_ms"][quantile], 3)
    return result


def fault_rounds(fleet, sequence, rng):
    non_voters = list(range(fleet.voters + 1, fleet.router_count + 1))
    workers = workers_of(fleet)
    sequence.run("workers close after execution (30 %)", faults.worker_fault, workers,
                 "close_after_execute_percent", 30)
    sequence.run("workers answer 2 s late", faults.worker_fault, workers, "delay_answer_ms", 2000)
    # Longer than the deadline of the service, so that the router times out first.
    sequence.run("workers answer 6 s late", faults.worker_fault, workers, "delay_answer_ms", 6000)
    sequence.run("worker killed", faults.restart_worker, workers[0])
    sequence.run("worker stopped", faults.pause_worker, workers[1])
    sequence.run("router killed", faults.kill_node, rng.choice(non_voters))
    sequence.run("router stopped", faults.pause_node, rng.choice(non_voters))
    sequence.run("router cut off", faults.cut_node, rng.choice(non_voters))
    sequence.run("leader killed", faults.kill_node, faults.current_leader(fleet))
    # A second failure immediately after the repair.
    sequence.run("next leader killed", faults.kill_node, faults.current_leader(fleet))
    sequence.run("leader stopped", faults.pause_node, faults.current_leader(fleet))
    sequence.run("leader cut off", faults.cut_node, faults.current_leader(fleet))
    fail_leader_and_router(fleet, sequence, workers, rng.choice(non_voters))
    leader = faults.current_leader(fleet)
    follower = next(n for n in range(1, fleet.voters + 1) if n != leader)
    sequence.run("data directory of a voter lost", faults.lose_data, follower)


def fail_leader_and_router(fleet, sequence, workers, router):
    """Kills the leader and a router together while workers close connections."""
    def action(fleet, leader):
        threads = [threading.Thread(target=faults.kill_node, args=(fleet, n))
                   for n in (leader, router)]
        for thread in threads:
            thread.start()
        faults.worker_fault(fleet, workers, "close_after_execute_percent", 30)
        for thread in threads:
            thread.join()
    sequence.run("leader and r%d killed, workers close" % router, action,
                 faults.current_leader(fleet))


def executions(fleet):
    return fleet.stand_in_get(workers_of(fleet)[0], "/admin/executions?summary=1")


def run(seed):
    rng = random.Random(seed)
    with common.running("kereru", routers=ROUTERS, **faults.PORTS) as fleet:
        cost = cost_of_claim(fleet, seed)
        sequence = faults.FaultSequence(fleet)
        seconds = 14 * (faults.FAULT_S + 2)
        extra = ["--resend-percent=30", "--resend-other-router",
                 "--refs=" + fleet.run_dir + "/refs.txt", "--drain-seconds=30",
                 # The workers share one record file, so any of them lists all executions.
                 "--check-executions=" + fleet.address_of(workers_of(fleet)[0])]
        load = common.Load(fleet.run_dir, deposits(fleet, {"rate": RATE_PER_S}),
                           common.targets(fleet), seconds, seed, extra, "deposits")
        fault_rounds(fleet, sequence, rng)
        report = load.result(seconds + 120)
        faults.wait_serving(fleet)
        # Lets requests execute that were in flight when the load ended.
        time.sleep(1)
        executed_twice = executions(fleet)["doubles"]
    total, checked = report["total"], report["executions"]
    outcomes = total["outcomes"]
    # After a failed connect the caller knows that nothing was executed.
    known_outcomes = (total["ok"] + outcomes.get("not_run", 0) +
                      total["errors"].get("connect_failed", 0))
    return {"calls": total["sent"], "ok": total["ok"],
            "run_twice": max(checked["doubles"],
                             len(executed_twice) if isinstance(executed_twice, list)
                             else executed_twice),
            "told_not_run_but_ran": checked["ran_after_not_run"],
            "acknowledged_but_lost": checked["lost"],
            "wrong_answers": total["wrong"], "wrong_types": total.get("wrong_types", {}),
            "share_unknown": round((total["sent"] - known_outcomes) / total["sent"], 4),
            "outcomes": outcomes, "errors": total["errors"], "resends": total["resends"],
            "resend_results": total["resend_results"], "executions": checked,
            "cost_of_claim": cost, "rounds": sequence.records,
            "targets": {"calls": 2000, "run_twice": 0, "told_not_run_but_ran": 0,
                        "acknowledged_but_lost": 0, "wrong_answers": 0},
            "not_covered": ["full disk"]}
