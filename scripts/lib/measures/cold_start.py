"""Counts requests in flight at engines beyond their capacity: at the start, when a
failure domain returns to service, and when an engine turns cold (it can serve
only COLD_SLOTS requests at a time until it has warmed up)."""

import threading
import time

from . import _common as common

DURATION_S = 24
COLD_SLOTS = 2
ENGINE_FLAGS = ["--token-ms=10", "--first-token-ms=10", "--cold-slots=%d" % COLD_SLOTS,
                "--warm-requests=20", "--warm-seconds=0", "--fall-over=24"]


class EngineSampler(threading.Thread):
    """Samples the counters of one engine."""

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


def overload_counts(fleet):
    engines = [n for n in fleet.stand_ins if n.startswith("model")]
    stats = [fleet.stand_in_get(n, "/admin/stats") for n in engines]
    return {"over_bearable": sum(s["over_bearable_total"] for s in stats),
            "over_bearable_cold": sum(s["over_bearable_cold_total"] for s in stats),
            "fall_overs": sum(s["fall_overs"] for s in stats)}


def difference(after, before):
    return {key: after[key] - before[key] for key in after}


def run(seed):
    with common.running("kereru", routers=12, engine_flags=ENGINE_FLAGS,
                        log_level="warning") as fleet:
        names = [r["name"] for r in fleet.resources if r["kind"] == "team"]
        mix = common.chat_mix(common.model_of(fleet), (50, 200), (8, 32))
        teams = [{"name": n, "api_key": "demo-" + n, "arrival": {"concurrency": 12}, "mix": mix}
                 for n in names]
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), DURATION_S, seed,
                           ["--threads=2"], "cold")
        time.sleep(6)
        at_start = overload_counts(fleet)
        domain = fleet.domain_names()[0]
        domain_engines = [r["name"] for r in fleet.resources
                          if r["kind"] == "upstream" and
                          r["spec"]["failure_domain"] == domain and
                          r["spec"]["services"] == ["chat"]]
        fleet.change("failure_domain", domain, state="out")
        time.sleep(3)
        for name in domain_engines:  # the returning engines are cold
            fleet.stand_in_post(name, "/admin/cold", {})
        before = overload_counts(fleet)
        fleet.change("failure_domain", domain, state="in")
        time.sleep(5)
        at_return = difference(overload_counts(fleet), before)
        before = overload_counts(fleet)
        engine = next(n for n in fleet.stand_ins
                      if n.startswith("model") and n not in domain_engines)
        sampler = EngineSampler(fleet, engine)
        sampler.start()
        cold_at = time.monotonic()
        fleet.stand_in_post(engine, "/admin/cold", {})
        time.sleep(6)
        sampler.stopping = True
        sampler.join()
        when_cold = difference(overload_counts(fleet), before)
        total = load.result()["total"]
    admission_times_s = [t - cold_at for (t, s), (_, p) in zip(sampler.samples[1:], sampler.samples)
                         if s["over_bearable_cold_total"] > p["over_bearable_cold_total"]]
    return {"cold_slots": COLD_SLOTS, "at_start": at_start, "at_return": at_return,
            "turning_cold": when_cold,
            "seconds_until_last_admission_beyond":
            round(max(admission_times_s), 2) if admission_times_s else 0,
            "ok": total["ok"], "errors": total["errors"], "incomplete": total["incomplete"],
            "wrong": total["wrong"], "target": "never above what it can bear"}
