"""Service while a failure domain leaves and returns, at a load that the
remaining domains can carry."""

import os
import time

from . import _common as common
from .fairness import backlogged_teams

SECONDS = 26
OUT_AT, BACK_AT = 8, 16
ENGINE = ["--token-ms=10", "--first-token-ms=15", "--start-warm", "--cold-slots=8"]


def last_new_work(fleet, domain, accepted):
    """Seconds from acceptance (wall clock) to the last routing decision for an
    upstream in the domain, from the routers' logs."""
    last = 0.0
    for node in fleet.all_nodes():
        with open(os.path.join(fleet.run_dir, "node-%d.log" % node)) as text:
            for line in text:
                if " event=route " in line and " failure_domain=%s " % domain in line:
                    last = max(last, stamp(line))
    return last


def stamp(line):
    from datetime import datetime
    return datetime.fromisoformat(line.split(" ", 1)[0][5:]).timestamp()


def first_token_times(fleet, start, end):
    """Waiting time before dispatch, in ms, of requests routed in a span."""
    times = []
    for node in fleet.all_nodes():
        with open(os.path.join(fleet.run_dir, "node-%d.log" % node)) as text:
            for line in text:
                if " event=route " in line and " service=chat " in line:
                    if start <= stamp(line) < end:
                        times.append(int(line.split(" waited_us=")[1].split(" ")[0]) / 1000)
    times.sort()
    return round(times[int(len(times) * 0.95)], 2) if times else None


def full_use(seed):
    """Seconds after a domain's return until backlogged teams are served at 95 %
    of the rate before it left."""
    with common.running("zawal", routers=12, engine_flags=ENGINE,
                        log_level="warning") as fleet:
        teams, _ = backlogged_teams(fleet, 12)
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), SECONDS, seed,
                           ["--threads=2"], "full")
        started = time.time()
        domain = fleet.domain_names()[0]
        time.sleep(OUT_AT)
        fleet.change("failure_domain", domain, state="out")
        time.sleep(max(0, started + BACK_AT - time.time()))
        fleet.change("failure_domain", domain, state="in")
        back = time.time() - started
        total = load.result()["total"]
        series = load.series()
    step = series["interval_ms"] / 1000
    rate = [sum(team["cost"][i] for team in series["teams"].values()) / step
            for i in range(int(SECONDS / step))]

    def mean(start, end):
        part = rate[int(start / step):int(end / step)]
        return sum(part) / max(1, len(part))

    usual = mean(4, OUT_AT)
    regained = None
    at = back
    while at + 0.5 <= SECONDS and regained is None:
        if mean(at, at + 0.5) >= 0.95 * usual:
            regained = round(at - back, 1)
        at += 0.1
    return {"cost_per_second": {"before": round(usual),
                                "during": round(mean(OUT_AT + 1, BACK_AT)),
                                "after": round(mean(back + 3, SECONDS))},
            "seconds_to_full_use": regained, "errors": total["errors"],
            "failed": total["sent"] - total["ok"]}


def run(seed):
    with common.running("zawal", routers=12, engine_flags=ENGINE) as fleet:
        names = [r["name"] for r in fleet.resources if r["kind"] == "team"]
        mix = common.chat_mix(common.model_of(fleet), (50, 200), (8, 40))
        # About half of all slots: two domains of three can carry it.
        teams = [{"name": n, "api_key": "demo-" + n, "arrival": {"rate": 8}, "mix": mix}
                 for n in names]
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), SECONDS, seed,
                           ["--threads=2"], "move")
        started = time.time()
        time.sleep(OUT_AT)
        domain = fleet.domain_names()[0]
        fleet.change("failure_domain", domain, state="out")
        out = time.time()
        time.sleep(max(0, started + BACK_AT - time.time()))
        last = last_new_work(fleet, domain, out)
        fleet.change("failure_domain", domain, state="in")
        back = time.time()
        total = load.result()["total"]
        ended = started + SECONDS
        waits = {"before": first_token_times(fleet, started + 4, out),
                 "during": first_token_times(fleet, out, back),
                 "after": first_token_times(fleet, back, ended)}
    return {"seconds_to_last_new_work": round(max(0.0, last - out), 3), "target_seconds": 3,
            "sent": total["sent"], "ok": total["ok"],
            "failed": total["sent"] - total["ok"], "errors": total["errors"],
            "incomplete": total["incomplete"], "wrong": total["wrong"],
            "queue_wait_p95_ms": waits,
            "first_token_p95_ms_whole_run": total["first_token_ms"]["chat_stream"]["p95"],
            "backlogged": full_use(seed)}
