"""Share of slots in use while requests wait, with teams spread unevenly over the
routers, compared with a single router that queues every request."""

import threading
import time

from . import _common as common
from .fairness import ENGINE_FLAGS, backlogged_teams

DURATION_S = 14
WARM_UP_S = 4


class RunningSampler(threading.Thread):
    """Samples the number of requests that run at all engines."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet, self.samples, self.stopping = fleet, [], False
        self.engines = [n for n in fleet.stand_ins if n.startswith("model")]

    def run(self):
        while not self.stopping:
            running = 0
            for name in self.engines:
                running += self.fleet.stand_in_get(name, "/admin/stats")["running"]
            self.samples.append(running)
            time.sleep(0.05)


def measure_busy_share(routers, seed):
    with common.running("kereru", routers=routers, voters=min(3, routers),
                        engine_flags=ENGINE_FLAGS, log_level="warning") as fleet:
        slots = sum(r["spec"]["max_concurrent"] for r in fleet.resources
                    if r["kind"] == "upstream" and r["spec"]["services"] == ["chat"])
        teams, _ = backlogged_teams(fleet, routers)
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), DURATION_S, seed,
                           ["--threads=3"], "busy")
        time.sleep(WARM_UP_S)
        sampler = RunningSampler(fleet)
        sampler.start()
        time.sleep(DURATION_S - WARM_UP_S - 1)
        sampler.stopping = True
        sampler.join()
        total = load.result()["total"]
    share = sum(sampler.samples) / len(sampler.samples) / slots
    return {"routers": routers, "busy_share": round(share, 4), "samples": len(sampler.samples),
            "most_running": max(sampler.samples), "slots": slots,
            "cost_per_second": round(total["cost"] / DURATION_S)}


def run(seed):
    single_router, fleet = measure_busy_share(1, seed), measure_busy_share(12, seed)
    return {"naive": single_router, "fleet": fleet,
            "ratio": round(fleet["busy_share"] / single_router["busy_share"], 4),
            "target_ratio": 0.98}
