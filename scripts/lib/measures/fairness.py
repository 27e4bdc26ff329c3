"""Largest service gap between two backlogged teams with 3, 12 and 24 routers,
compared with a single router that queues every request."""

from . import _common as common

DURATION_S = 20
WARM_UP_S = 4  # slow start of the engines
ROUTERS = (3, 12, 24)
ENGINE_FLAGS = ["--token-ms=5", "--first-token-ms=5", "--cold-slots=8", "--start-warm"]


def backlogged_teams(fleet, routers):
    """Teams that always have more requests than their share. Each team's callers use
    only some of the routers, so that demand is spread unevenly."""
    model = common.model_of(fleet)
    teams, weights = [], {}
    team_resources = [r for r in fleet.resources if r["kind"] == "team"]
    for i, item in enumerate(team_resources):
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


def measure_gap(routers, seed):
    with common.running("kereru", routers=routers, voters=min(3, routers),
                        engine_flags=ENGINE_FLAGS, log_level="warning") as fleet:
        teams, weights = backlogged_teams(fleet, routers)
        load = common.Load(fleet.run_dir, teams, common.targets(fleet), DURATION_S, seed,
                           ["--threads=3"], "fair")
        total = load.result()["total"]
        series = load.series()
    half = (WARM_UP_S + DURATION_S) / 2
    return {"routers": routers,
            "gap": round(common.largest_service_gap(series, weights, WARM_UP_S, DURATION_S), 1),
            "gap_first_half":
            round(common.largest_service_gap(series, weights, WARM_UP_S, half), 1),
            "gap_second_half":
            round(common.largest_service_gap(series, weights, half, DURATION_S), 1),
            "cost_per_second": round(total["cost"] / DURATION_S),
            "ok": total["ok"], "errors": total["errors"], "wrong": total["wrong"],
            "incomplete": total["incomplete"],
            "first_token_p95_ms": total["first_token_ms"]["chat_stream"]["p95"]}


def run(seed):
    single_router = measure_gap(1, seed)
    fleet_results = [measure_gap(routers, seed) for routers in ROUTERS]
    worst = max(f["gap"] for f in fleet_results)
    return {"naive": single_router, "fleet": fleet_results,
            "naive_gap": single_router["gap"], "largest_gap": worst,
            "ratio": round(worst / single_router["gap"], 3), "target_ratio": 1.25}
