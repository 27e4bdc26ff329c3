"""What the soak has seen: runs at upstreams, answers at callers, orders that
were acknowledged, and the promises that these break."""

import time

CONFIG_APPLY_S = 2.0   # an acknowledged configuration is in force everywhere
REVOKE_S = 5.0         # no run with a key that was taken away longer ago
EVACUATE_S = 5.0       # no run in a failure domain that was taken out
LATE_S = 0.25          # slack for the soak's own scheduling


class World:
    def __init__(self, random):
        self.random = random
        self.start = time.monotonic()
        self.runs = {}        # attempt -> [run]
        self.refused = {}     # attempt -> time of an answer that promises "not run"
        self.violations = []
        self.team_of_key = {}
        self.revoking = set() # teams whose key a configuration that was sent takes away
        self.revoked = {}     # team -> time when that was acknowledged
        self.evacuated = {}   # failure domain -> time when it was acknowledged
        self.acked_version, self.acked_at = 0, 0.0
        self.counts = {}

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def violate(self, rule, text):
        self.violations.append("%.2f s %s: %s" % (time.monotonic() - self.start, rule, text))

    # What upstreams see

    def record_run(self, upstream, attempt, method, headers, body):
        now = time.monotonic()
        run = {"upstream": upstream.id, "at": now, "ended": None}
        earlier = self.runs.setdefault(attempt, [])
        kind = headers.get("x-kind")
        if kind == "unsafe" and earlier:
            self.violate("AT_MOST_ONCE", "%s ran at %s and again at %s" %
                         (attempt, earlier[0]["upstream"], upstream.id))
        earlier.append(run)
        if attempt in self.refused:
            self.violate("NOT_RUN", "%s runs at %s after a refusal" % (attempt, upstream.id))
        if body != attempt.encode():
            self.violate("UNASKED", "%s runs with another body" % attempt)
        if "authorization" in headers:
            self.violate("UNASKED", "%s: the key reached %s" % (attempt, upstream.id))
        team = headers.get("tenant", "")
        if team != headers.get("x-team"):
            self.violate("UNASKED", "%s runs for team %r, not %r" % (attempt, team, headers.get("x-team")))
        sent = float(headers.get("x-sent", now))
        revoked = self.revoked.get(team)
        if revoked is not None and sent > revoked + REVOKE_S:
            self.violate("REVOKED", "%s of %s runs %.1f s after its key was taken away" %
                         (attempt, team, sent - revoked))
        out = self.evacuated.get(upstream.domain)
        if out is not None and now > out + EVACUATE_S + LATE_S:
            self.violate("EVACUATED", "%s reaches %s %.1f s after %s was taken out" %
                         (attempt, upstream.id, now - out, upstream.domain))
        return run

    # What callers see

    def record_refusal(self, attempt, kind):
        self.refused[attempt] = time.monotonic()
        if kind == "unsafe" and self.runs.get(attempt):
            self.violate("NOT_RUN", "%s was refused and had run at %s" %
                         (attempt, self.runs[attempt][0]["upstream"]))

    # What the operator sees

    def record_ack(self, version):
        if version > self.acked_version:
            self.acked_version, self.acked_at = version, time.monotonic()

    def check_read(self, node, version, asked_at):
        if asked_at > self.acked_at + CONFIG_APPLY_S and version < self.acked_version:
            self.violate("CONFIG", "%s shows version %d; %d was acknowledged %.1f s before" %
                         (node, version, self.acked_version, asked_at - self.acked_at))
