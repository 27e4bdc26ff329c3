"""Rollouts of five services at once by real processes, with stand-in workers of two
versions and the leader killed midway. The workers of an old version are stopped as
soon as its rollout has succeeded. Checks the ends, the exposure of bad versions as
the workers counted it, and that no request of a good one was cut off."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import gateway_fleet as gateway  # noqa: E402

NET = 41
ROUTERS = 3
DURATION_S = 12
# As in docs/settings.md; the slack is that of the platform's sheets.
MAX_EXPOSURE = 0.1
EXPOSURE_SLACK = 50
CALLERS_PER_SERVICE = 6
OLD_WORKERS = 4
WORK_S = 0.02
END_DEADLINE_S = 60
BAD_SHARE = 0.4


def fails(worker):
    return worker.requests % 10 < 10 * BAD_SHARE


def good(worker, path, running):
    return 200, b"ok", WORK_S


def bad_at_once(worker, path, running):
    return (500 if fails(worker) else 200), b"x", WORK_S


def bad_later(worker, path, running):
    late = worker.started and time.monotonic() - worker.started > 3
    return (500 if late and fails(worker) else 200), b"x", WORK_S


def slow(worker, path, running):
    return 200, b"x", WORK_S * (8 if fails(worker) else 1)


def bad_route(worker, path, running):
    return (500 if "/b/" in path and fails(worker) else 200), b"x", WORK_S


SERVICES = {"good": (good, "succeeded"), "at-once": (bad_at_once, "rolled_back"),
            "later": (bad_later, "rolled_back"), "slow": (slow, "rolled_back"),
            "one-route": (bad_route, "rolled_back")}


class Callers:
    """Callers that send one request after the other; they go on at another router
    after a refusal or when a router is gone."""

    def __init__(self, fleet, service):
        self.fleet, self.service = fleet, service
        self.stopped = False
        self.answers = {}
        self.cut = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True)
                        for i in range(CALLERS_PER_SERVICE)]
        for thread in self.threads:
            thread.start()

    def run(self, caller):
        number = 0
        while not self.stopped:
            number += 1
            part = "b" if number % 3 == 0 else "a"
            path = "/%s/%s/x" % (self.service, part)
            attempt = "%s-%d-%d" % (self.service, caller, number)
            index = (caller + number) % ROUTERS
            status, _, _ = gateway.call(
                self.fleet.front(index), "GET", path,
                headers={"Host": gateway.HOST, "Attempt-Id": attempt,
                         "Deadline-Ms": "4000"})
            with self.lock:
                self.answers[status] = self.answers.get(status, 0) + 1
                if status in (0, 502, 504) and index != self.fleet.killed:
                    self.cut.append((attempt, status))

    def stop(self):
        self.stopped = True
        for thread in self.threads:
            thread.join(30)


def state_of(fleet, service):
    status, body = fleet.order("GET", "/v1/rollouts/" + service)
    return gateway.json.loads(body).get("state") if status == 200 else None


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def run(fleet):
    old, new = {}, {}
    for service in SERVICES:
        old[service] = [fleet.add_worker(service, "v1", good) for _ in range(OLD_WORKERS)]
    fleet.configure(list(SERVICES), [
        {"name": service + "-" + part, "path_prefix": "/%s/%s/" % (service, part),
         "kind": "safe", "service": service} for service in SERVICES for part in "ab"])
    fleet.wait_ready()
    callers = {service: Callers(fleet, service) for service in SERVICES}
    time.sleep(1)
    for service, (reply, _) in SERVICES.items():
        body = {"service": service, "target": "v2", "duration_s": DURATION_S}
        status, answer = fleet.order("POST", "/v1/rollouts", body)
        check(status == 200, "order %s: %s %s" % (service, status, answer))
        check(fleet.order("POST", "/v1/rollouts", body)[0] == 200, "repeated order")
        other = dict(body, target="v3")
        check(fleet.order("POST", "/v1/rollouts", other)[0] == 409, "order of another version")
        new[service] = [fleet.add_worker(service, "v2", reply) for _ in range(OLD_WORKERS)]
        for worker in new[service]:
            worker.started = time.monotonic()
    before = {s: sum(w.requests for w in old[s]) for s in SERVICES}
    time.sleep(DURATION_S / 4)
    leader = fleet.leader()
    fleet.killed = leader
    fleet.kill(leader)
    time.sleep(1)
    fleet.start(leader)
    waiting = set(SERVICES)
    deadline = time.monotonic() + END_DEADLINE_S
    while waiting and time.monotonic() < deadline:
        for service in sorted(waiting):
            state = state_of(fleet, service)
            if state in ("succeeded", "rolled_back"):
                waiting.discard(service)
                if state == "succeeded":
                    for worker in old[service]:
                        fleet.remove_worker(worker)
        time.sleep(0.05)
    time.sleep(1)
    for caller in callers.values():
        caller.stop()
    for service, (_, expected) in SERVICES.items():
        state = state_of(fleet, service)
        exposed = sum(w.requests for w in new[service])
        total = exposed + sum(w.requests for w in old[service]) - before[service]
        print("%-10s %-12s %5d of %5d requests at the new version, answers %s, cut %d" % (
            service, state, exposed, total, callers[service].answers,
            len(callers[service].cut)))
    for service, (_, expected) in SERVICES.items():
        check(state_of(fleet, service) == expected, service + " ended otherwise")
    check(not callers["good"].cut, "cut off: %s" % callers["good"].cut[:5])
    for service in SERVICES:
        exposed = sum(w.requests for w in new[service])
        total = exposed + sum(w.requests for w in old[service]) - before[service]
        if SERVICES[service][1] == "rolled_back":
            check(exposed <= MAX_EXPOSURE * total + EXPOSURE_SLACK,
                  "%s: %d of %d requests at the bad version" % (service, exposed, total))


def main():
    fleet = gateway.GatewayFleet(NET, ROUTERS)
    fleet.killed = None
    failed = True
    try:
        run(fleet)
        failed = False
    finally:
        fleet.close(keep=failed)


if __name__ == "__main__":
    main()
