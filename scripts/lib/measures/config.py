"""Time until every router applies an accepted change, and counts of three errors,
with and without faults: a router reverts to an older revision, two writes of the
same version both succeed, or a resend gets another response."""

import datetime
import json
import random
import re
import threading
import time
from http.client import HTTPException

import fleet as fleets
from . import _common as common
from . import _faults as faults

ROUTERS = 12
FAULT_FREE_CHANGES = 200
LOG_FLUSH_S = 2.5  # longer than the log flush interval of a node, 1 s
TARGETS = {"quiet_s": 1.0, "faults_s": 15.0, "wrongs": 0}
LOG_LINE = re.compile(r"time=(\S+) .*event=(config_in_force|started|leading)\b(.*)")


class RevisionSampler:
    """Samples the revision in force of one router."""

    def __init__(self, fleet, node, accepted):
        self.fleet, self.node, self.accepted = fleet, node, accepted
        self.samples, self.reverts, self.newest_since_start = [], [], 0
        self.min_revision = 0
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def restarted(self):
        """Notes that the process was restarted. From now on it must not apply a
        revision older than the newest one accepted so far."""
        self.newest_since_start, self.min_revision = 0, self.accepted()

    def run(self):
        while not self.stopping:
            process = self.fleet.nodes[self.node].child
            try:
                values = self.fleet.metrics(self.node)
            except (OSError, ValueError, HTTPException):
                values = {}
            revision = values.get("arbutus_config_revision", 0)
            in_force = revision > 0 and values.get("arbutus_lease_seconds", 0) > 0
            if in_force and process is self.fleet.nodes[self.node].child:
                if revision < max(self.newest_since_start, self.min_revision):
                    self.reverts.append({"node": self.node, "revision": revision,
                                         "before": max(self.newest_since_start, self.min_revision)})
                self.newest_since_start = max(self.newest_since_start, revision)
                self.samples.append((time.time(), revision))
            time.sleep(0.1)

    def stop(self):
        self.stopping = True
        self.thread.join(15)


class Operator:
    """Writes with request ids; repeats each write until its response is conclusive."""

    def __init__(self, fleet, seed):
        self.fleet, self.random = fleet, random.Random(seed)
        self.run_id = "config-%d-%d" % (seed, time.time_ns())
        self.number, self.changes, self.violations = 0, [], {"double_winners": [],
                                                             "changed_resends": []}
        self.resends = self.races = self.repeated_writes = 0
        self.teams = [r["name"] for r in fleet.resources if r["kind"] == "team"]
        self.lock = threading.Lock()

    def newest(self):
        with self.lock:
            return max([c["revision"] for c in self.changes] or [0])

    def next_id(self):
        self.number += 1
        return "%s-%d" % (self.run_id, self.number)

    def write(self, name, spec, version, request_id, first_node=None):
        """Repeats one write at random nodes until the status is not 503."""
        deadline = time.monotonic() + 30
        node = first_node
        while True:
            try:
                node = node or self.random.choice(list(self.fleet.all_nodes()))
                status, response = self.fleet.api(
                    "PUT", "/api/v1/team/" + name, {"version": version, "spec": spec}, node,
                    request_id, timeout=2.0)
                if status != 503:
                    return status, response
            except (OSError, ValueError, HTTPException):
                pass
            self.repeated_writes += 1
            node = None
            if time.monotonic() > deadline:
                raise TimeoutError("no response to a write within 30 s")

    def read(self, name):
        def attempt():
            node = self.random.choice(list(self.fleet.all_nodes()))
            status, response = self.fleet.api("GET", "/api/v1/team/" + name, None, node,
                                              timeout=2.0)
            return response if status == 200 else None
        return fleets.wait_for(attempt, 30, "the response to a read")

    def check_resend(self, name, spec, version, request_id, before):
        self.resends += 1
        again = self.write(name, spec, version, request_id)
        if without_resend_mark(again) != without_resend_mark(before):
            self.violations["changed_resends"].append({"request": request_id, "before": before,
                                                       "again": again})

    def accept(self, response, at):
        with self.lock:
            self.changes.append({"revision": response["object"]["revision"],
                                 "object": response["object"], "at": at})

    def change(self, resend_later):
        name = self.random.choice(self.teams)
        current = self.read(name)
        spec = dict(current["spec"], queue_length=self.random.randint(500, 5000))
        request_id = self.next_id()
        response = self.write(name, spec, current["version"], request_id)
        if response[0] == 200:
            self.accept(response[1], time.time())
        if self.random.random() < 0.25:
            self.check_resend(name, spec, current["version"], request_id, response)
        resend_later.append((name, spec, current["version"], request_id, response))

    def race(self, resend_later):
        """Two operators write different values under the same version."""
        self.races += 1
        name = self.random.choice(self.teams)
        current = self.read(name)
        nodes = self.random.sample(list(self.fleet.all_nodes()), 2)
        specs = [dict(current["spec"], queue_length=n) for n in (6001, 6002)]
        ids, responses = [self.next_id(), self.next_id()], [None, None]

        def operator(i):
            responses[i] = self.write(name, specs[i], current["version"], ids[i], nodes[i])

        threads = [threading.Thread(target=operator, args=(i,)) for i in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        now = time.time()
        winners = [i for i in (0, 1) if responses[i] and responses[i][0] == 200]
        if len(winners) > 1:
            self.violations["double_winners"].append({"name": name, "answers": responses})
        for i in winners:
            self.accept(responses[i][1], now)
        for i in (0, 1):
            resend_later.append((name, specs[i], current["version"], ids[i], responses[i]))


def without_resend_mark(response):
    """The response without the mark of a resend. The message of a conflict contains
    the mark a second time, as escaped JSON."""
    text = json.dumps({k: v for k, v in response[1].items() if k != "resent"}, sort_keys=True)
    return response[0], text.replace(',\\"resent\\":true', "")


def log_events(fleet, node):
    """(Unix time in seconds, event, fields) of the log lines that LINE matches."""
    events = []
    with open(fleet.run_dir + "/node-%d.log" % node, errors="replace") as text:
        for line in text:
            match = LOG_LINE.match(line)
            if match:
                at = datetime.datetime.fromisoformat(match.group(1)).timestamp()
                fields = dict(f.split("=", 1) for f in match.group(3).split() if "=" in f)
                events.append((at, match.group(2), fields))
    return events


def times_in_force(fleet, changes, samplers):
    """Seconds from the acceptance of each change until the last router applies it,
    including routers that are down or partitioned in between."""
    samples_by_router = []
    for sampler in samplers:
        samples = [(at, int(f["revision"])) for at, event, f in log_events(fleet, sampler.node)
                   if event == "config_in_force"]
        samples_by_router.append(sorted(samples + sampler.samples))
    result, missing = [], 0
    for change in changes:
        slowest = 0.0
        for samples in samples_by_router:
            at = next((t for t, revision in samples if revision >= change["revision"]), None)
            if at is None:
                missing += 1
            else:
                slowest = max(slowest, at - change["at"])
        result.append(slowest)
    return result, missing


def reverts_in_logs(fleet):
    found = []
    for node in fleet.all_nodes():
        newest = 0
        for _, event, fields in log_events(fleet, node):
            if event == "started":
                newest = 0
            elif event == "config_in_force":
                if int(fields["revision"]) < newest:
                    found.append({"node": node, "revision": fields["revision"]})
                newest = int(fields["revision"])
    return found


def lost_changes(fleet, changes, since):
    """Accepted changes that differ from the history or are missing from it."""
    history = {}
    while True:
        path = "/api/v1/watch?since=%d" % since
        lines = fleets.http("GET", fleet.http_address(current_leader_node(fleet)), path, None,
                            {"Authorization": "Bearer " + fleets.OPERATOR_KEY}, 30)[2]
        rows = [json.loads(line) for line in lines.splitlines() if line]
        for row in rows:
            history[row["revision"]] = row.get("object")
        since = max([since] + [row["revision"] for row in rows])
        if len(rows) < 1000:
            break
    return [c["revision"] for c in changes if history.get(c["revision"]) != c["object"]]


def current_leader_node(fleet):
    return faults.current_leader(fleet)


def wait_in_force(operator, samplers):
    newest = operator.newest()
    fleets.wait_for(lambda: all(w.samples and w.samples[-1][1] >= newest for w in samplers),
                    30, "all routers to apply the last change")


def summary(times):
    ordered = sorted(times)
    if not ordered:
        return {"changes": 0}
    return {"changes": len(ordered), "median_ms": round(1000 * ordered[len(ordered) // 2], 1),
            "p99_ms": round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1),
            "max_ms": round(1000 * ordered[-1], 1)}


def kill_and_note_restart(sequence, samplers, node, seconds=faults.FAULT_S):
    sequence.run("kill -9", faults.kill_node, node, seconds)
    samplers[node - 1].restarted()


def fault_rounds(sequence, samplers, operator):
    fleet, rng = sequence.fleet, operator.random
    non_voters = list(range(fleet.voters + 1, fleet.router_count + 1))
    sequence.run("SIGSTOP leader", faults.pause_node, faults.current_leader(fleet))
    sequence.run("cut off leader", faults.cut_node, faults.current_leader(fleet))
    kill_and_note_restart(sequence, samplers, faults.current_leader(fleet))
    # A second failure immediately after the repair.
    kill_and_note_restart(sequence, samplers, faults.current_leader(fleet))
    sequence.run("cut off router", faults.cut_node, rng.choice(non_voters))
    kill_and_note_restart(sequence, samplers, rng.choice(non_voters))
    sequence.run("SIGSTOP router", faults.pause_node, rng.choice(non_voters))
    leader = faults.current_leader(fleet)
    follower = next(n for n in range(1, fleet.voters + 1) if n != leader)
    sequence.run("lost data directory", faults.lose_data, follower)
    samplers[follower - 1].restarted()


def run(seed):
    with common.running("kereru", routers=ROUTERS, **faults.PORTS) as fleet:
        start_revision = fleet.status()["revision"]
        operator = Operator(fleet, seed)
        samplers = [RevisionSampler(fleet, n, operator.newest) for n in fleet.all_nodes()]
        resend_later = []
        for i in range(FAULT_FREE_CHANGES):
            operator.change(resend_later)
            if i % 10 == 0:
                operator.race(resend_later)
            time.sleep(operator.random.uniform(0.02, 0.1))
        fault_free = list(operator.changes)
        wait_in_force(operator, samplers)
        sequence, ended = faults.FaultSequence(fleet), threading.Event()

        def write_until_ended():
            while not ended.is_set():
                operator.change(resend_later)
                if operator.number % 10 == 0:
                    operator.race(resend_later)
                time.sleep(0.1)

        writer = threading.Thread(target=write_until_ended)
        writer.start()
        try:
            fault_rounds(sequence, samplers, operator)
        finally:
            ended.set()
            writer.join(60)
        faults.wait_serving(fleet)
        wait_in_force(operator, samplers)
        for sample in operator.random.sample(resend_later, min(100, len(resend_later))):
            operator.check_resend(*sample)
        time.sleep(LOG_FLUSH_S)
        for sampler in samplers:
            sampler.stop()
        with_faults = operator.changes[len(fault_free):]
        fault_free_times, fault_free_missing = times_in_force(fleet, fault_free, samplers)
        fault_times, fault_missing = times_in_force(fleet, with_faults, samplers)
        reverts = [r for w in samplers for r in w.reverts] + reverts_in_logs(fleet)
        lost = lost_changes(fleet, operator.changes, start_revision)
        leading = sum(event == "leading" for n in range(1, fleet.voters + 1)
                      for _, event, _ in log_events(fleet, n))
    return {"quiet": summary(fault_free_times), "with_faults": summary(fault_times),
            "never_in_force": fault_free_missing + fault_missing,
            "reverts": len(reverts), "double_winners": len(operator.violations["double_winners"]),
            "changed_resends": len(operator.violations["changed_resends"]),
            "accepted_but_lost": len(lost), "races": operator.races,
            "resends": operator.resends, "repeated_writes": operator.repeated_writes,
            "leading_events": leading, "rounds": sequence.records, "targets": TARGETS,
            "examples": {"reverts": reverts[:3], "lost": lost[:3],
                         "changed_resends": operator.violations["changed_resends"][:2],
                         "double_winners": operator.violations["double_winners"][:2]},
            "not_covered": ["full disk", "a replacement of the lost voter: there is no "
                            "operator command for a change of voters"]}
