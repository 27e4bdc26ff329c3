"""Latency that a router adds compared with direct requests, non-streaming requests
per second and core, and memory per idle stream."""

import time

import fleet as fleets
from . import _common as common

RATE_PER_S = 1000  # the rate at which the latency targets apply
DURATION_S = 8
STREAMS = 2000


def teams(arrival, path):
    return [{"name": "school-1", "api_key": API_KEY, "arrival": arrival,
             "mix": [{"kind": "get", "path": path}]}]


API_KEY = ""


def latency(fleet, target, path, seed, name):
    load = common.Load(fleet.run_dir, teams({"rate": RATE_PER_S}, path), [target], DURATION_S, seed,
                       ["--threads=1"], name)
    total = load.result()["total"]
    times = next(iter(total["latency_ms"].values()))
    return times, total


def run(seed):
    global API_KEY
    with common.running("kereru", routers=1, voters=1, service_flags=["--work-ms=0"],
                        log_level="warning") as fleet:
        team = next(r["name"] for r in fleet.resources if r["kind"] == "team")
        API_KEY = "demo-" + team
        worker = next(r["spec"]["address"] for r in fleet.resources
                      if r["kind"] == "upstream" and r["spec"]["services"] == ["ledger"])
        router, pid = fleet.http_address(1), fleet.nodes[1].pid
        direct_path, routed_path = "/balances/{account}", "/services/ledger/balances/{account}"
        latency(fleet, router, routed_path, seed, "warm-up")
        direct, _ = latency(fleet, worker, direct_path, seed, "direct")
        routed, total = latency(fleet, router, routed_path, seed, "routed")
        before, started = common.cpu_seconds(pid), time.monotonic()
        load = common.Load(fleet.run_dir, teams({"concurrency": 64}, routed_path), [router],
                           DURATION_S, seed, ["--threads=2"], "closed")
        closed_loop = load.result()["total"]
        used = common.cpu_seconds(pid) - before
        elapsed = time.monotonic() - started
    result = {
        "rate": RATE_PER_S,
        "direct_ms": direct, "routed_ms": routed,
        "added_p50_ms": round(routed["p50"] - direct["p50"], 3),
        "added_p99_ms": round(routed["p99"] - direct["p99"], 3),
        "errors": total["sent"] - total["ok"],
        "closed_loop_per_second": round(closed_loop["ok"] / DURATION_S),
        "closed_loop_cores": round(used / elapsed, 3),
        "plain_per_core": round(closed_loop["ok"] / used),
        "targets": {"added_p50_ms": 0.3, "added_p99_ms": 2, "plain_per_core": 10000,
                    "bytes_per_idle_stream": 32768},
    }
    result.update(idle_streams(seed))
    return result


def idle_streams(seed):
    resources = fleets.Fleet("kereru", "/tmp").resources
    for item in resources:
        if item["kind"] == "service":
            item["spec"]["first_limit"] = 4096
            item["spec"]["deadline_ms"] = 60000
        if item["kind"] == "upstream":
            item["spec"]["max_concurrent"] = 4096
        if item["kind"] == "team":
            item["spec"]["queue_length"] = 5000
    flags = ["--slots=4096", "--cold-slots=4096", "--start-warm", "--token-ms=1500"]
    with common.running("kereru", routers=1, voters=1, resources=resources,
                        engine_flags=flags, log_level="warning") as fleet:
        team = next(r["name"] for r in fleet.resources if r["kind"] == "team")
        pid = fleet.nodes[1].pid
        before = common.resident_bytes(pid)
        mix = common.chat_mix(common.model_of(fleet), (40, 60), (30, 30))
        load = common.Load(fleet.run_dir, [{"name": team, "api_key": "demo-" + team,
                                            "arrival": {"concurrency": STREAMS}, "mix": mix}],
                           [fleet.http_address(1)], 8, seed,
                           ["--threads=2", "--max-in-flight=4000", "--drain-seconds=1"], "idle")
        peak, open_streams = before, 0
        end = time.monotonic() + 8
        while time.monotonic() < end:
            open_now = fleet.metrics(1)["arbutus_in_flight_requests"]
            if open_now >= open_streams:
                open_streams, peak = open_now, max(peak, common.resident_bytes(pid))
            time.sleep(0.2)
        load.result()
    return {"open_streams": open_streams,
            "bytes_per_idle_stream": round((peak - before) / max(1, open_streams))}
