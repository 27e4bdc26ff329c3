"""Service while a failure domain is taken out of service and returns, at a load that
the remaining domains can serve."""

import os
import time

from . import _common as common
from .fairness import backlogged_teams

DURATION_S = 26
OUT_AT_S, BACK_AT_S = 8, 16
ENGINE_FLAGS = ["--token-ms=10", "--first-token-ms=15", "--start-warm", "--cold-slots=8"]


def last_routing_time(fleet, domain, accepted):
    """Unix time of the last routing decision for an upstream in the domain, from the
    routers' logs; 0 if there is none."""
    last = 0.0
    for node in fleet.all_nodes():
        with open(os.path.join(fleet.run_dir, "node-%d.log" % node)) as text:
            for line in text:
                if " event=route " in line and " failure_domain=%s " % domain in line:
                    last = max(last, log_time(line))
    return last


def log_time(line):
    from datetime import datetime
    return datetime.fromisoformat(line.split(" ", 1)[0][5:]).timestamp()


def queue_wait_p95(fleet, start, end):
    """95th percentile, in ms, of the time that requests routed between start and end
    waited for dispatch."""
    times = []
    for node in fleet.all_nodes():
        with open(os.path.join(fleet.run_dir, "node-%d.log" % node)) as text:
            for line in text:
                if " event=route " in line and " service=chat " in line:
                    if start <= log_time(line) < end:
                        times.append(int(line.split(" waited_us=")[1].split(" ")[0]) / 1000)
    times.sort()
    return round(times[int(len(times) * 0.95)], 2) if times else None


def recovery_of_backlogged_teams(seed):
    """Seconds after a domain's return until backlogged teams are served at 95 % of the
    rate before the domain was taken out."""
    with common.running("zawal", routers=12, engine_flags=ENGINE_FLAGS,
                        log_level="warning") as fleet:
        teams, _ = backlogged_teams(fleet, 12)
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), DURATION_S, seed,
                           ["--threads=2"], "full")
        started = time.time()
        domain = fleet.domain_names()[0]
        time.sleep(OUT_AT_S)
        fleet.change("failure_domain", domain, state="out")
        time.sleep(max(0, started + BACK_AT_S - time.time()))
        fleet.change("failure_domain", domain, state="in")
        back = time.time() - started
        total = load.result()["total"]
        series = load.series()
    step = series["interval_ms"] / 1000
    rate = [sum(team["cost"][i] for team in series["teams"].values()) / step
            for i in range(int(DURATION_S / step))]

    def mean(start, end):
        window = rate[int(start / step):int(end / step)]
        return sum(window) / max(1, len(window))

    rate_before = mean(4, OUT_AT_S)
    recovered_after_s = None
    at = back
    while at + 0.5 <= DURATION_S and recovered_after_s is None:
        if mean(at, at + 0.5) >= 0.95 * rate_before:
            recovered_after_s = round(at - back, 1)
        at += 0.1
    return {"cost_per_second": {"before": round(rate_before),
                                "during": round(mean(OUT_AT_S + 1, BACK_AT_S)),
                                "after": round(mean(back + 3, DURATION_S))},
            "seconds_to_full_use": recovered_after_s, "errors": total["errors"],
            "failed": total["sent"] - total["ok"]}


def run(seed):
    with common.running("zawal", routers=12, engine_flags=ENGINE_FLAGS) as fleet:
        names = [r["name"] for r in fleet.resources if r["kind"] == "team"]
        mix = common.chat_mix(common.model_of(fleet), (50, 200), (8, 40))
        # Uses about half of all slots, which two of three domains can serve.
        teams = [{"name": n, "api_key": "demo-" + n, "arrival": {"rate": 8}, "mix": mix}
                 for n in names]
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), DURATION_S, seed,
                           ["--threads=2"], "move")
        started = time.time()
        time.sleep(OUT_AT_S)
        domain = fleet.domain_names()[0]
        fleet.change("failure_domain", domain, state="out")
        out = time.time()
        time.sleep(max(0, started + BACK_AT_S - time.time()))
        last = last_routing_time(fleet, domain, out)
        fleet.change("failure_domain", domain, state="in")
        back = time.time()
        total = load.result()["total"]
        ended = started + DURATION_S
        waits = {"before": queue_wait_p95(fleet, started + 4, out),
                 "during": queue_wait_p95(fleet, out, back),
                 "after": queue_wait_p95(fleet, back, ended)}
    return {"seconds_to_last_new_work": round(max(0.0, last - out), 3), "target_seconds": 3,
            "sent": total["sent"], "ok": total["ok"],
            "failed": total["sent"] - total["ok"], "errors": total["errors"],
            "incomplete": total["incomplete"], "wrong": total["wrong"],
            "queue_wait_p95_ms": waits,
            "first_token_p95_ms_whole_run": total["first_token_ms"]["chat_stream"]["p95"],
            "backlogged": recovery_of_backlogged_teams(seed)}
