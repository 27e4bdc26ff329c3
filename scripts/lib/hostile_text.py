"""Texts that become far more memory than they have bytes, each to one real router that
is its own leader. Guards against a process that ends by the memory of what it reads, or
stops answering, and against such a text without a clear refusal."""

import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_fleet as gateway  # noqa: E402
from fleet import sha256, wait_for  # noqa: E402

NET = 44
MIB = 1 << 20
# The VM of the router, and the largest body that its callers may send.
MEMORY_MB = 64
BODY_BYTES = 4 * MIB
LIMITS = """memory_mb = %d
descriptors = 400
killed_after_seconds = 8
body_bytes = %d""" % (MEMORY_MB, BODY_BYTES)
ANSWER_S = 60
OPERATOR_KEY = "operator"
TEAM_KEY = "team"
# Sent again without a pause, as operators do who have no clear answer.
TIMES = 3

FORMS = {
    "arrays that nest": b"[",
    "objects that nest": b'{"":',
    "numbers": b"0,",
    "empty objects": b"{},",
    "objects with a member": b'{"":0},',
    "services": b'{"name":""},',
}
CONFIG = b'{"version":9,"routes":[],"services":['
# Listener, method, path, how the body begins, and its size.
READERS = {
    "order": ("operators", "PUT", "/v1/config", b"", 2 * MIB),
    "order, in a list": ("operators", "PUT", "/v1/config", CONFIG, 2 * MIB),
    "order, large": ("operators", "PUT", "/v1/config", CONFIG, 5 * MIB),
    "rollout": ("operators", "POST", "/v1/rollouts", b'{"service":[', 2 * MIB),
    "own configuration": ("http", "PUT", "/api/v1/configuration", CONFIG, 2 * MIB),
    "own resource": ("http", "PUT", "/api/v1/team/t",
                     b'{"version":0,"spec":{"x":[', 2 * MIB),
    "own chat": ("http", "POST", "/v1/chat/completions", b'{"model":"m","messages":[', MIB),
}


def hostile(begin, part, size):
    body = begin + part * (size // len(part))
    return body[:size]


def memory_kib(process):
    with open("/proc/%d/status" % process.pid) as lines:
        return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:"))


def ordinary(fleet):
    status, _, _ = gateway.call(fleet.front(0), "POST", "/s/ordinary", b"small",
                                {"Host": gateway.HOST, "Attempt-Id": "ordinary",
                                 "Deadline-Ms": "8000"})
    return status == 200


def start_fleet():
    fleet = gateway.GatewayFleet(
        NET, 1, LIMITS, fleet='operator_key_hashes = ["%s"]' % sha256(OPERATOR_KEY))
    try:
        fleet.add_worker("s", "v1", lambda worker, path, running: (200, b"ok", 0.05))
        fleet.configure(["s"], [{"name": "r", "path_prefix": "/s/", "kind": "safe",
                                 "service": "s"}], BODY_BYTES)
        fleet.wait_ready()
        create_chat(fleet)
        wait_for(lambda: ordinary(fleet), 60, "the first answer")
    except BaseException:
        fleet.close()
        raise
    return fleet


def key_of(listener, path):
    is_operator = listener == "http" and path.startswith("/api/")
    return {"Authorization": "Bearer " + (OPERATOR_KEY if is_operator else TEAM_KEY)}


def put(fleet, kind, name, spec):
    def sent():
        status, _, _ = gateway.call(fleet.listener(0, "http"), "PUT",
                                    "/api/v1/%s/%s" % (kind, name),
                                    json.dumps({"version": 0, "spec": spec}),
                                    dict(key_of("http", "/api/"),
                                         **{"X-Request-Id": "put-%s-%s" % (kind, name)}))
        return status == 200
    wait_for(sent, 60, "%s %s" % (kind, name))


def create_chat(fleet):
    """A model service and a team, so that bodies of chats are read."""
    put(fleet, "service", "chat", {
        "kind": "model", "model": "m", "deadline_ms": 8000, "first_limit": 2, "growth": 1.5,
        "routes": [{"method": "POST", "path_prefix": "/v1/chat/completions",
                    "idempotent": True}]})
    put(fleet, "team", "t", {"weight": 1, "api_key_hashes": [sha256(TEAM_KEY)],
                             "services": ["chat"], "queue_length": 100,
                             "body_bytes": BODY_BYTES})


def run_case(fleet, reader, form):
    """Returns the failures of one text at one reader."""
    listener, method, path, begin, size = READERS[reader]
    body = hostile(begin, FORMS[form], size)
    process = fleet.processes[0]
    for _ in range(TIMES):
        status, _, _ = gateway.call(fleet.listener(0, listener), method, path, body,
                                    key_of(listener, path), ANSWER_S)
        if process.poll() is not None:
            return ["the process ended: %s" % process.returncode]
        if status // 100 != 4:
            return ["status %d" % status]
    try:
        wait_for(lambda: ordinary(fleet), 60, "an ordinary answer")
    except TimeoutError as error:
        return [str(error)]
    peak = memory_kib(process)
    print("%-20s %-22s peak %6d KiB" % (reader, form, peak))
    if peak > MEMORY_MB * 1000:
        return ["%d KiB of memory, the VM has %d MB" % (peak, MEMORY_MB)]
    return []


def main():
    chosen = sys.argv[1:]
    failed = 0
    fleet = start_fleet()
    try:
        for reader in READERS:
            for form in FORMS:
                name = "%s: %s" % (reader, form)
                if chosen and name not in chosen:
                    continue
                failures = run_case(fleet, reader, form)
                for failure in failures:
                    print("FAIL %s: %s" % (name, failure))
                if failures:
                    failed += 1
                    fleet.close()
                    fleet = start_fleet()
                sys.stdout.flush()
    finally:
        fleet.close()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
