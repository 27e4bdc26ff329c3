"""Runs seeded fault schedules against the consensus module in one process."""

import json
import os
import subprocess

import fleet as fleets


def run(seed):
    program = os.path.join(fleets.build_dir(), "bench_consensus")
    if not os.path.exists(program):
        return {"not_run": "build/bench_consensus does not exist"}
    done = subprocess.run([program, "--seed", str(seed)], stdout=subprocess.PIPE, text=True)
    lines = done.stdout.strip().splitlines()
    result = json.loads(lines[-1])
    result["exit_status"] = done.returncode
    result["violating"] = lines[:-1][:10]
    result["targets"] = {"violations": 0}
    return result
