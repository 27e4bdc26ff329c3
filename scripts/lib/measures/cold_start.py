"""Most requests in flight at an engine against what it can bear: at its start,
at its return from a failure domain that was out, and when it turns cold."""

import threading
import time

from . import _common as common

SECONDS = 24
COLD_SLOTS = 2
ENGINE = ["--token-ms=10", "--first-token-ms=10", "--cold-slots=%d" % COLD_SLOTS,
          "--warm-requests=20", "--warm-seconds=0", "--fall-over=24"]


class Watch(threading.Thread):
    """Samples one engine's own count of requests beyond what it can bear."""

    def __init__(self, fleet, engine):
        super().__init__(daemon=True)
        self.fleet, self.engine, self.stopping = fleet, engine, False
        self.samples = []

    def run(self):
        while not self.stopping:
            try:
                stats = self.fleet.stand_in_get(self.engine, "/admin/stats")
                self.samples.append((time.monotonic(), stats))
            except (OSError, ValueError):
                pass
            time.sleep(0.02)


def over_bearable(fleet):
    engines = [n for n in fleet.stand_ins if n.startswith("model")]
    stats = [fleet.stand_in_get(n, "/admin/stats") for n in engines]
    return {"over_bearable": sum(s["over_bearable_total"] for s in stats),
            "over_bearable_cold": sum(s["over_bearable_cold_total"] for s in stats),
            "fall_overs": sum(s["fall_overs"] for s in stats)}


def difference(after, before):
    return {key: after[key] - before[key] for key in after}


def run(seed):
    with common.running("kereru", routers=12, engine_flags=ENGINE,
                        log_level="warning") as fleet:
        names = [r["name"] for r in fleet.resources if r["kind"] == "team"]
        mix = common.chat_mix(common.model_of(fleet), (50, 200), (8, 32))
        teams = [{"name": n, "api_key": "demo-" + n, "arrival": {"concurrency": 12}, "mix": mix}
                 for n in names]
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), SECONDS, seed,
                           ["--threads=2"], "cold")
        time.sleep(6)
        at_start = over_bearable(fleet)
        domain = fleet.domain_names()[0]
        inside = [r["name"] for r in fleet.resources if r["kind"] == "upstream" and
                  r["spec"]["failure_domain"] == domain and r["spec"]["services"] == ["chat"]]
        fleet.change("failure_domain", domain, state="out")
        time.sleep(3)
        for name in inside:  # what returns has lost its warmth
            fleet.stand_in_post(name, "/admin/cold", {})
        before = over_bearable(fleet)
        fleet.change("failure_domain", domain, state="in")
        time.sleep(5)
        at_return = difference(over_bearable(fleet), before)
        before = over_bearable(fleet)
        victim = next(n for n in fleet.stand_ins if n.startswith("model") and n not in inside)
        watch = Watch(fleet, victim)
        watch.start()
        turned = time.monotonic()
        fleet.stand_in_post(victim, "/admin/cold", {})
        time.sleep(6)
        watch.stopping = True
        watch.join()
        turning = difference(over_bearable(fleet), before)
        total = load.result()["total"]
    late = [t - turned for (t, s), (_, p) in zip(watch.samples[1:], watch.samples)
            if s["over_bearable_cold_total"] > p["over_bearable_cold_total"]]
    return {"cold_slots": COLD_SLOTS, "at_start": at_start, "at_return": at_return,
            "turning_cold": turning,
            "seconds_until_last_admission_beyond": round(max(late), 2) if late else 0,
            "ok": total["ok"], "errors": total["errors"], "incomplete": total["incomplete"],
            "wrong": total["wrong"], "target": "never above what it can bear"}
