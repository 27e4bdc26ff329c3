"""Time from the acceptance of a change to its being in force on every router,
reverts, double winners and changed resends, with and without faults."""

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
QUIET_CHANGES = 200
LOG_FLUSH_SECONDS = 2.5  # a node flushes its log every second
TARGETS = {"quiet_s": 1.0, "faults_s": 15.0, "wrongs": 0}
LINE = re.compile(r"time=(\S+) .*event=(config_in_force|started|leading)\b(.*)")


class Watcher:
    """Samples the revision in force of one router."""

    def __init__(self, fleet, node, accepted):
        self.fleet, self.node, self.accepted = fleet, node, accepted
        self.samples, self.reverts, self.life_newest = [], [], 0
        self.floor = 0
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def restarted(self):
        """The process has lost its memory; what was accepted until now is the
        least that it may put in force."""
        self.life_newest, self.floor = 0, self.accepted()

    def run(self):
        while not self.stopping:
            life = self.fleet.nodes[self.node].child
            try:
                values = self.fleet.metrics(self.node)
            except (OSError, ValueError, HTTPException):
                values = {}
            revision = values.get("arbutus_config_revision", 0)
            in_force = revision > 0 and values.get("arbutus_lease_seconds", 0) > 0
            if in_force and life is self.fleet.nodes[self.node].child:
                if revision < max(self.life_newest, self.floor):
                    self.reverts.append({"node": self.node, "revision": revision,
                                         "before": max(self.life_newest, self.floor)})
                self.life_newest = max(self.life_newest, revision)
                self.samples.append((time.time(), revision))
            time.sleep(0.1)

    def stop(self):
        self.stopping = True
        self.thread.join(15)


class Operator:
    """Writes with request ids and repeats each until it has a clear answer."""

    def __init__(self, fleet, seed):
        self.fleet, self.random = fleet, random.Random(seed)
        self.run_id = "config-%d-%d" % (seed, time.time_ns())
        self.number, self.changes, self.wrongs = 0, [], {"double_winners": [],
                                                         "changed_resends": []}
        self.resends = self.races = self.repeated = 0
        self.teams = [r["name"] for r in fleet.resources if r["kind"] == "team"]
        self.lock = threading.Lock()

    def newest(self):
        with self.lock:
            return max([c["revision"] for c in self.changes] or [0])

    def next_id(self):
        self.number += 1
        return "%s-%d" % (self.run_id, self.number)

    def write(self, name, spec, version, request_id, first=None):
        """Repeats one write at random nodes until the fleet answers it."""
        end = time.monotonic() + 30
        node = first
        while True:
            try:
                node = node or self.random.choice(list(self.fleet.all_nodes()))
                status, answer = self.fleet.api(
                    "PUT", "/api/v1/team/" + name, {"version": version, "spec": spec}, node,
                    request_id, timeout=2.0)
                if status != 503:
                    return status, answer
            except (OSError, ValueError, HTTPException):
                pass
            self.repeated += 1
            node = None
            if time.monotonic() > end:
                raise TimeoutError("no answer to a write within 30 s")

    def read(self, name):
        def attempt():
            node = self.random.choice(list(self.fleet.all_nodes()))
            status, answer = self.fleet.api("GET", "/api/v1/team/" + name, None, node,
                                            timeout=2.0)
            return answer if status == 200 else None
        return fleets.wait_for(attempt, 30, "answer to a read")

    def check_resend(self, name, spec, version, request_id, before):
        self.resends += 1
        again = self.write(name, spec, version, request_id)
        if clean(again) != clean(before):
            self.wrongs["changed_resends"].append({"request": request_id, "before": before,
                                                   "again": again})

    def accept(self, answer, at):
        with self.lock:
            self.changes.append({"revision": answer["object"]["revision"],
                                 "object": answer["object"], "at": at})

    def change(self, resend_late):
        name = self.random.choice(self.teams)
        current = self.read(name)
        spec = dict(current["spec"], queue_length=self.random.randint(500, 5000))
        request_id = self.next_id()
        answer = self.write(name, spec, current["version"], request_id)
        if answer[0] == 200:
            self.accept(answer[1], time.time())
        if self.random.random() < 0.25:
            self.check_resend(name, spec, current["version"], request_id, answer)
        resend_late.append((name, spec, current["version"], request_id, answer))

    def race(self, resend_late):
        """Two operators write different values under the same version."""
        self.races += 1
        name = self.random.choice(self.teams)
        current = self.read(name)
        nodes = self.random.sample(list(self.fleet.all_nodes()), 2)
        specs = [dict(current["spec"], queue_length=n) for n in (6001, 6002)]
        ids, answers = [self.next_id(), self.next_id()], [None, None]

        def operator(i):
            answers[i] = self.write(name, specs[i], current["version"], ids[i], nodes[i])

        threads = [threading.Thread(target=operator, args=(i,)) for i in (0, 1)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        now = time.time()
        winners = [i for i in (0, 1) if answers[i] and answers[i][0] == 200]
        if len(winners) > 1:
            self.wrongs["double_winners"].append({"name": name, "answers": answers})
        for i in winners:
            self.accept(answers[i][1], now)
        for i in (0, 1):
            resend_late.append((name, specs[i], current["version"], ids[i], answers[i]))


def clean(answer):
    """An answer without the mark of a resend, which the message of a conflict
    repeats as text."""
    text = json.dumps({k: v for k, v in answer[1].items() if k != "resent"}, sort_keys=True)
    return answer[0], text.replace(',\\"resent\\":true', "")


def log_events(fleet, node):
    """(seconds, event, fields) of the log lines that matter here."""
    events = []
    with open(fleet.run_dir + "/node-%d.log" % node, errors="replace") as text:
        for line in text:
            match = LINE.match(line)
            if match:
                at = datetime.datetime.fromisoformat(match.group(1)).timestamp()
                fields = dict(f.split("=", 1) for f in match.group(3).split() if "=" in f)
                events.append((at, match.group(2), fields))
    return events


def times_in_force(fleet, changes, watchers):
    """Seconds from acceptance until the last router has the change in force;
    a router that was down or cut off counts until it is back."""
    firsts = []
    for watcher in watchers:
        seen = [(at, int(f["revision"])) for at, event, f in log_events(fleet, watcher.node)
                if event == "config_in_force"]
        firsts.append(sorted(seen + watcher.samples))
    result, missing = [], 0
    for change in changes:
        worst = 0.0
        for seen in firsts:
            at = next((t for t, revision in seen if revision >= change["revision"]), None)
            if at is None:
                missing += 1
            else:
                worst = max(worst, at - change["at"])
        result.append(worst)
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
    """Accepted changes that the history does not hold as they were answered."""
    history = {}
    while True:
        path = "/api/v1/watch?since=%d" % since
        lines = fleets.http("GET", fleet.http_address(current_node(fleet)), path, None,
                            {"Authorization": "Bearer " + fleets.OPERATOR_KEY}, 30)[2]
        rows = [json.loads(line) for line in lines.splitlines() if line]
        for row in rows:
            history[row["revision"]] = row.get("object")
        since = max([since] + [row["revision"] for row in rows])
        if len(rows) < 1000:
            break
    return [c["revision"] for c in changes if history.get(c["revision"]) != c["object"]]


def current_node(fleet):
    return faults.current_leader(fleet)


def wait_in_force(operator, watchers):
    newest = operator.newest()
    fleets.wait_for(lambda: all(w.samples and w.samples[-1][1] >= newest for w in watchers),
                    30, "last change in force")


def summary(times):
    ordered = sorted(times)
    if not ordered:
        return {"changes": 0}
    return {"changes": len(ordered), "median_ms": round(1000 * ordered[len(ordered) // 2], 1),
            "p99_ms": round(1000 * ordered[int(0.99 * (len(ordered) - 1))], 1),
            "max_ms": round(1000 * ordered[-1], 1)}


def kill(rounds, watchers, node, seconds=faults.FAULT_SECONDS):
    rounds.run("kill -9", faults.kill_node, node, seconds)
    watchers[node - 1].restarted()


def fault_rounds(rounds, watchers, operator):
    fleet, draw = rounds.fleet, operator.random
    plain = list(range(fleet.voters + 1, fleet.router_count + 1))
    rounds.run("SIGSTOP leader", faults.pause_node, faults.current_leader(fleet))
    rounds.run("cut off leader", faults.cut_node, faults.current_leader(fleet))
    kill(rounds, watchers, faults.current_leader(fleet))
    # A second failure right after the repair.
    kill(rounds, watchers, faults.current_leader(fleet))
    rounds.run("cut off router", faults.cut_node, draw.choice(plain))
    kill(rounds, watchers, draw.choice(plain))
    rounds.run("SIGSTOP router", faults.pause_node, draw.choice(plain))
    leader = faults.current_leader(fleet)
    follower = next(n for n in range(1, fleet.voters + 1) if n != leader)
    rounds.run("lost data directory", faults.lose_data, follower)
    watchers[follower - 1].restarted()


def run(seed):
    with common.running("kereru", routers=ROUTERS, **faults.PORTS) as fleet:
        start_revision = fleet.status()["revision"]
        operator = Operator(fleet, seed)
        watchers = [Watcher(fleet, n, operator.newest) for n in fleet.all_nodes()]
        late = []
        for i in range(QUIET_CHANGES):
            operator.change(late)
            if i % 10 == 0:
                operator.race(late)
            time.sleep(operator.random.uniform(0.02, 0.1))
        quiet = list(operator.changes)
        wait_in_force(operator, watchers)
        rounds, ended = faults.Rounds(fleet), threading.Event()

        def write_on():
            while not ended.is_set():
                operator.change(late)
                if operator.number % 10 == 0:
                    operator.race(late)
                time.sleep(0.1)

        writer = threading.Thread(target=write_on)
        writer.start()
        try:
            fault_rounds(rounds, watchers, operator)
        finally:
            ended.set()
            writer.join(60)
        faults.serving(fleet)
        wait_in_force(operator, watchers)
        for sample in operator.random.sample(late, min(100, len(late))):
            operator.check_resend(*sample)
        time.sleep(LOG_FLUSH_SECONDS)
        for watcher in watchers:
            watcher.stop()
        faulty = operator.changes[len(quiet):]
        quiet_times, quiet_missing = times_in_force(fleet, quiet, watchers)
        fault_times, fault_missing = times_in_force(fleet, faulty, watchers)
        reverts = [r for w in watchers for r in w.reverts] + reverts_in_logs(fleet)
        lost = lost_changes(fleet, operator.changes, start_revision)
        leading = sum(event == "leading" for n in range(1, fleet.voters + 1)
                      for _, event, _ in log_events(fleet, n))
    return {"quiet": summary(quiet_times), "with_faults": summary(fault_times),
            "never_in_force": quiet_missing + fault_missing,
            "reverts": len(reverts), "double_winners": len(operator.wrongs["double_winners"]),
            "changed_resends": len(operator.wrongs["changed_resends"]),
            "accepted_but_lost": len(lost), "races": operator.races,
            "resends": operator.resends, "repeated_writes": operator.repeated,
            "leading_events": leading, "rounds": rounds.done, "targets": TARGETS,
            "examples": {"reverts": reverts[:3], "lost": lost[:3],
                         "changed_resends": operator.wrongs["changed_resends"][:2],
                         "double_winners": operator.wrongs["double_winners"][:2]},
            "not_covered": ["full disk", "a replacement of the lost voter: there is no "
                            "operator command for a change of voters"]}
