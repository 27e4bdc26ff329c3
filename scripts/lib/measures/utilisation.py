"""Share of slot time that is busy while work waits, with teams spread
unevenly, against one router that sees every request."""

import threading
import time

from . import _common as common
from .fairness import ENGINE, backlogged_teams

SECONDS = 14
WARM_UP = 4


class Sampler(threading.Thread):
    """Samples what runs at all engines."""

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


def busy_share(routers, seed):
    with common.running("kereru", routers=routers, voters=min(3, routers),
                        engine_flags=ENGINE, log_level="warning") as fleet:
        slots = sum(r["spec"]["max_concurrent"] for r in fleet.resources
                    if r["kind"] == "upstream" and r["spec"]["services"] == ["chat"])
        teams, _ = backlogged_teams(fleet, routers)
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), SECONDS, seed,
                           ["--threads=3"], "busy")
        time.sleep(WARM_UP)
        sampler = Sampler(fleet)
        sampler.start()
        time.sleep(SECONDS - WARM_UP - 1)
        sampler.stopping = True
        sampler.join()
        total = load.result()["total"]
    share = sum(sampler.samples) / len(sampler.samples) / slots
    return {"routers": routers, "busy_share": round(share, 4), "samples": len(sampler.samples),
            "most_running": max(sampler.samples), "slots": slots,
            "cost_per_second": round(total["cost"] / SECONDS)}


def run(seed):
    naive, fleet = busy_share(1, seed), busy_share(12, seed)
    return {"naive": naive, "fleet": fleet,
            "ratio": round(fleet["busy_share"] / naive["busy_share"], 4),
            "target_ratio": 0.98}
