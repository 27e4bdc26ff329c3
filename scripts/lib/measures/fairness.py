"""Largest service gap between two backlogged teams, at 3, 12 and 24 routers,
against one router that sees every request (a single queue)."""

from . import _common as common

SECONDS = 20
WARM_UP = 4  # slow start of the engines
ROUTERS = (3, 12, 24)
ENGINE = ["--token-ms=5", "--first-token-ms=5", "--cold-slots=8", "--start-warm"]


def backlogged_teams(fleet, routers):
    """Every team always has more requests than its share; each team's callers
    sit on few of the routers, so that demand is spread unevenly."""
    model = common.model_of(fleet)
    teams, weights = [], {}
    names = [r for r in fleet.resources if r["kind"] == "team"]
    for i, item in enumerate(names):
        weight = item["spec"].get("weight", 1)
        skew = [0.02] * routers
        for j in range(max(1, routers // 4)):
            skew[(i + j) % routers] = 1.0
        # Odd teams send many short requests, even ones few long requests.
        mix = common.chat_mix(model, (50, 200), (4, 24) if i % 2 else (16, 96))
        teams.append({"name": item["name"], "api_key": "demo-" + item["name"],
                      "arrival": {"concurrency": 16 * weight}, "skew": skew, "mix": mix})
        weights[item["name"]] = weight
    return teams, weights


def gap_of(routers, seed):
    with common.running("kereru", routers=routers, voters=min(3, routers),
                        engine_flags=ENGINE, log_level="warning") as fleet:
        teams, weights = backlogged_teams(fleet, routers)
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), SECONDS, seed,
                           ["--threads=3"], "fair")
        total = load.result()["total"]
        series = load.series()
    half = (WARM_UP + SECONDS) / 2
    return {"routers": routers,
            "gap": round(common.largest_gap(series, weights, WARM_UP, SECONDS), 1),
            "gap_first_half": round(common.largest_gap(series, weights, WARM_UP, half), 1),
            "gap_second_half": round(common.largest_gap(series, weights, half, SECONDS), 1),
            "cost_per_second": round(total["cost"] / SECONDS),
            "ok": total["ok"], "errors": total["errors"], "wrong": total["wrong"],
            "incomplete": total["incomplete"],
            "first_token_p95_ms": total["first_token_ms"]["chat_stream"]["p95"]}


def run(seed):
    naive = gap_of(1, seed)
    fleets = [gap_of(routers, seed) for routers in ROUTERS]
    worst = max(f["gap"] for f in fleets)
    return {"naive": naive, "fleet": fleets, "naive_gap": naive["gap"], "largest_gap": worst,
            "ratio": round(worst / naive["gap"], 3), "target_ratio": 1.25}
