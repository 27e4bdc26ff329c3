"""Helpers that several measurements share."""

import contextlib
import json
import os
import shutil
import subprocess
import sys
import tempfile

import fleet as fleets


def log(text):
    print(text, file=sys.stderr, flush=True)


@contextlib.contextmanager
def running(profile="kereru", **options):
    """Starts a fleet; stops it and removes its directory at the end."""
    run_dir = tempfile.mkdtemp(prefix="arbutus-measure-")
    fleet = fleets.Fleet(profile, run_dir, **options)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.stop()
        if os.environ.get("KEEP_RUN_DIR"):
            log("kept " + run_dir)
        else:
            shutil.rmtree(run_dir, ignore_errors=True)


class Load:
    """One run of the load tool in the background."""

    def __init__(self, run_dir, teams, targets, seconds, seed, extra=(), name="load"):
        self.profile = os.path.join(run_dir, name + "-profile.json")
        self.series_path = os.path.join(run_dir, name + "-series.json")
        self.out = os.path.join(run_dir, name + "-out.json")
        with open(self.profile, "w") as out:
            json.dump({"teams": teams}, out)
        command = [os.path.join(fleets.build_dir(), "tool_load"),
                   "--profile=" + self.profile, "--seed=%d" % seed,
                   "--seconds=%g" % seconds, "--series=" + self.series_path] + list(extra)
        if targets:  # otherwise the load tool resolves addresses (`--ask`)
            command.append("--targets=" + ",".join(targets))
        with open(self.out, "w") as out:
            self.child = subprocess.Popen(command, stdout=out)

    def result(self, timeout=300):
        self.child.wait(timeout)
        with open(self.out) as text:
            return json.loads(text.read().strip().splitlines()[-1])

    def series(self):
        with open(self.series_path) as text:
            return json.load(text)


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as text:
        fields = text.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    with open("/proc/%d/statm" % pid) as text:
        return int(text.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def targets(fleet):
    return [fleet.http_address(n) for n in fleet.all_nodes()]


def chat_mix(model, prompt=(100, 400), tokens=(8, 64), stream=True):
    return [{"kind": "chat_stream" if stream else "chat", "model": model,
             "prompt_bytes": list(prompt), "max_tokens": list(tokens)}]


def model_of(fleet):
    return next(r["spec"]["model"] for r in fleet.resources
                if r["kind"] == "service" and r["spec"]["kind"] == "model")


def largest_service_gap(series, weights, start, end):
    """Largest difference in served cost per weight between two teams, over all
    pairs of teams and all intervals between start and end (seconds)."""
    step = series["interval_ms"] / 1000.0
    first_index, last_index = int(start / step), int(end / step)
    curves = {}
    for name, weight in weights.items():
        total, curve = 0.0, [0.0]
        for value in series["teams"][name]["cost"][first_index:last_index]:
            total += value / weight
            curve.append(total)
        curves[name] = curve
    largest, team_names = 0.0, sorted(curves)
    for i, left in enumerate(team_names):
        for right in team_names[i + 1:]:
            difference = [a - b for a, b in zip(curves[left], curves[right])]
            largest = max(largest, max(difference) - min(difference))
    return largest
