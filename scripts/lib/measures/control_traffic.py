"""Control traffic, CPU share and memory of a node against the number of routers and
of teams, with linear fits. The CPU time that one router needs per request is
subtracted, so that only control work counts."""

from . import _slopes as slopes

ROUTERS = (3, 12, 24)
TEAMS = (16, 160, 1600)
TEAMS_ROUTERS = 12
LOADS = ("idle", "uncontended", "contended")
TARGETS = {"bytes_per_second": 23000, "cpu_share": 0.019, "memory_bytes": 256e6}


def measure(routers, teams, seed):
    with slopes.running(routers, voters=min(3, routers), teams=teams, dedicated=False) as fleet:
        return slopes.measure_phases(fleet, seed)


def measure_request_cpu(single_router):
    """CPU seconds per request on a single router, by load."""
    idle = sum(r["cpu"] for r in single_router["idle"].values())
    result = {"idle": 0.0}
    for load in LOADS[1:]:
        rates = single_router[load].values()
        answers = sum(r["answers"] for r in rates)
        result[load] = (sum(r["cpu"] for r in rates) - idle) / max(1.0, answers)
    return result


def row_of(phases, request_cpu_s, routers, teams):
    row = {"routers": routers, "teams": teams, "totals": phases["totals"]}
    for load in LOADS:
        rates = list(phases[load].values())
        answers = sum(r["answers"] for r in rates)
        traffic = [r["sent"] + r["received"] for r in rates]
        cpu = [r["cpu"] - r["answers"] * request_cpu_s[load] for r in rates]
        row[load] = {
            "bytes_mean": sum(traffic) / len(rates), "bytes_max": max(traffic),
            "sent_mean": sum(r["sent"] for r in rates) / len(rates),
            "received_mean": sum(r["received"] for r in rates) / len(rates),
            "cpu_share_mean": sum(cpu) / len(rates), "cpu_share_max": max(cpu),
            "memory_max": max(r["memory"] for r in rates),
            "answers_per_second": answers,
            "bytes_per_answer": sum(r["kinds"]["pool_report"] + r["kinds"]["pool_grant"]
                                    for r in rates) / answers if answers else 0.0,
            "kinds_sent_mean": {k: sum(r["kinds"][k] for r in rates) / len(rates)
                                for k in rates[0]["kinds"]}}
    return row


def fits(rows, variable):
    keys = ("bytes_mean", "bytes_max", "cpu_share_mean", "cpu_share_max", "memory_max")
    return {load: {k: slopes.fit([(r[variable], r[load][k]) for r in rows]) for k in keys}
            for load in LOADS}


def run(seed):
    request_cpu_s = measure_request_cpu(measure(1, 16, seed))
    by_routers = [row_of(measure(n, 16, seed), request_cpu_s, n, 16) for n in ROUTERS]
    by_teams = [r for r in by_routers if r["routers"] == TEAMS_ROUTERS]
    by_teams += [row_of(measure(TEAMS_ROUTERS, t, seed), request_cpu_s, TEAMS_ROUTERS, t)
                 for t in TEAMS if t != 16]
    worst = [max(r[load][k] for r in by_routers + by_teams for load in LOADS)
             for k in ("bytes_max", "cpu_share_max", "memory_max")]
    return slopes.rounded({
        "request_cpu_seconds": request_cpu_s, "by_routers": by_routers, "by_teams": by_teams,
        "slopes_by_routers": fits(by_routers, "routers"),
        "slopes_by_teams": fits(by_teams, "teams"),
        "largest": {"bytes_per_second": worst[0], "cpu_share": worst[1],
                    "memory_bytes": worst[2]}, "targets": TARGETS})
