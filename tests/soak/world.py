"""Records executions at upstreams, rejections at callers and acknowledged admin
requests, and reports the guarantees that they violate."""

import time

CONFIG_APPLY_S = 2.0  # until every node applies an acknowledged configuration
REVOKE_S = 5.0  # until no request with a revoked key is executed
EVACUATE_S = 5.0  # until no request is executed in an evacuated failure domain
DRAIN_S = 3.0  # until a router leaves an upstream alone that says it is leaving
PAUSE_DELAY_S = 0.5  # the same after a refusal with Retry-After
MAX_PAUSED_ARRIVALS = 2
CRASHES = 5  # crashes on one prompt segment until the fleet must know it
CONTACT_S = 3.0  # time to pass that on while no node is faulty
MAX_LATE_CRASH_REQUESTS = 3
SCHEDULING_SLACK_S = 0.25  # scheduling delay of the test itself


class Request:
    """A request of a caller and the node that it was sent to."""

    def __init__(self, node):
        self.node, self.sent_at = node, time.monotonic()


class Recorder:
    def __init__(self, random):
        self.random = random
        self.start = time.monotonic()
        self.executions = {}  # attempt id -> [execution]
        self.rejected_at = {}  # attempt id -> time of a response that says "not run"
        self.violations = []
        self.team_of_key = {}
        self.revoking = set()  # teams whose key is revoked by a configuration already sent
        self.revoked = {}  # team -> time when the revocation was acknowledged
        self.evacuated = {}  # failure domain -> time when the evacuation was acknowledged
        self.acked_version, self.acked_at = 0, 0.0
        self.counts = {}
        self.requests = {}  # attempt id -> Request
        self.leaving = {}  # (node, upstream) -> (time of a passed-on "leaving", node faults)
        self.paused = {}  # (node, upstream) -> [start, end, arrivals, node faults]
        self.nodes_under_fault = set()
        self.crash_segment = ""  # prompt segment that crashes upstreams
        self.crashes, self.late_crash_requests = 0, 0
        self.known_at = 0.0  # time of the fifth crash, or of the last fault of a node after it

    def count(self, event):
        self.counts[event] = self.counts.get(event, 0) + 1

    def report_violation(self, rule, text):
        self.violations.append("%.2f s %s: %s" % (time.monotonic() - self.start, rule, text))

    # What upstreams see

    def record_arrival(self, upstream, attempt_id):
        """Checks that the router leaves a leaving or paused upstream alone."""
        now, request = time.monotonic(), self.requests.get(attempt_id)
        if request is None:
            return
        key = (request.node, upstream)
        announced, faults = self.leaving.get(key, (None, None))
        if (announced is not None and request.sent_at > announced + DRAIN_S + SCHEDULING_SLACK_S and
                faults == request.node.process_faults()):
            self.report_violation("DRAIN", "%s reaches %s %.1f s after %s passed on that it is leaving" % (
                attempt_id, upstream, now - announced, request.node.name))
        pause = self.paused.get(key)
        if pause and pause[0] <= now < pause[1]:
            pause[2] += 1
            if pause[2] == MAX_PAUSED_ARRIVALS + 1 and pause[3] == request.node.fault_counts():
                self.report_violation("PAUSE", "%s is the third request of %s at %s, which wants none" %
                                      (attempt_id, request.node.name, upstream))

    def record_pause(self, upstream, attempt_id, seconds):
        now, request = time.monotonic(), self.requests.get(attempt_id)
        if request is not None:
            self.paused.setdefault((request.node, upstream), [
                now + PAUSE_DELAY_S, now + seconds, 0, request.node.fault_counts()])
            if self.paused[(request.node, upstream)][1] < now:
                del self.paused[(request.node, upstream)]

    def crashes_upstreams(self, headers):
        return bool(self.crash_segment) and self.crash_segment in headers.get("prompt-prefix", "")

    def record_crash(self):
        """Checks that a fleet without other faults stops requests that crash upstreams."""
        now = time.monotonic()
        self.count("crashes")
        self.crashes += 1
        if self.crashes == CRASHES or self.nodes_under_fault:
            self.known_at = max(self.known_at, now)
        if self.crashes > CRASHES and now > self.known_at + CONTACT_S:
            self.late_crash_requests += 1
            if self.late_crash_requests == MAX_LATE_CRASH_REQUESTS + 1:
                self.report_violation("CRASHES", "%d upstreams crashed on one prompt segment" %
                                      self.crashes)

    def record_execution(self, upstream, attempt_id, method, headers, body):
        now = time.monotonic()
        execution = {"upstream": upstream.id, "at": now, "ended": None}
        earlier = self.executions.setdefault(attempt_id, [])
        kind = headers.get("x-kind")
        if kind == "unsafe" and earlier:
            self.report_violation("AT_MOST_ONCE", "%s was executed at %s and again at %s" %
                                  (attempt_id, earlier[0]["upstream"], upstream.id))
        earlier.append(execution)
        if attempt_id in self.rejected_at:
            self.report_violation("NOT_RUN", "%s is executed at %s after it was rejected" %
                                  (attempt_id, upstream.id))
        if body != attempt_id.encode():
            self.report_violation("UNASKED", "%s is executed with another body" % attempt_id)
        if "authorization" in headers:
            self.report_violation("UNASKED", "the API key of %s was forwarded to %s" %
                                  (attempt_id, upstream.id))
        team = headers.get("tenant", "")
        if team != headers.get("x-team"):
            self.report_violation("UNASKED", "%s is executed for team %r instead of %r" %
                                  (attempt_id, team, headers.get("x-team")))
        sent_at = float(headers.get("x-sent", now))
        revoked_at = self.revoked.get(team)
        if revoked_at is not None and sent_at > revoked_at + REVOKE_S:
            self.report_violation("REVOKED", "%s of %s was sent %.1f s after its key was revoked" %
                                  (attempt_id, team, sent_at - revoked_at))
        evacuated_at = self.evacuated.get(upstream.domain)
        if evacuated_at is not None and now > evacuated_at + EVACUATE_S + SCHEDULING_SLACK_S:
            self.report_violation("EVACUATED", "%s reaches %s %.1f s after %s was evacuated" %
                                  (attempt_id, upstream.id, now - evacuated_at, upstream.domain))
        return execution

    # What callers see

    def record_response(self, node, headers):
        if headers.get("server-leaving") == "1":
            self.leaving.setdefault((node, headers.get("x-upstream")),
                                    (time.monotonic(), node.process_faults()))

    def record_rejection(self, attempt_id, kind):
        self.rejected_at[attempt_id] = time.monotonic()
        if kind == "unsafe" and self.executions.get(attempt_id):
            self.report_violation("NOT_RUN", "%s was rejected but had been executed at %s" %
                                  (attempt_id, self.executions[attempt_id][0]["upstream"]))

    # What the operator sees

    def record_ack(self, version):
        if version > self.acked_version:
            self.acked_version, self.acked_at = version, time.monotonic()

    def check_read(self, node, version, requested_at):
        if requested_at > self.acked_at + CONFIG_APPLY_S and version < self.acked_version:
            self.report_violation("CONFIG", "%s returns version %d; %d was acknowledged %.1f s before" %
                                  (node, version, self.acked_version, requested_at - self.acked_at))
