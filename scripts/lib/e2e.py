"""End-to-end checks of a small fleet of real processes on loopback. Prints one
line per check and exits with status 1 if any check failed. Every wait polls a
condition with a long deadline, so that results do not depend on the machine's
speed."""

import concurrent.futures
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
from fleet import http, wait_for  # noqa: E402
from measures import _common as common  # noqa: E402

# Below the ephemeral port range and apart from the ports of the demo (20000) and
# of the measurements (30000).
PORT_BASE = 26000
PORT_SHIFT = 6000
ROUTERS = 4
VOTERS = 3
NON_VOTER = 4
DEADLINE_S = 30
ADDRESS_TTL_MS = 1000
SMALL_BODY = 4096
MODEL = "kakapo-7b"
SLOTS = 4  # per upstream


def resources():
    """Two engines, two ledger workers and three teams with different permissions and
    limits."""
    with open(os.path.join(fleets.ROOT, "config", "kereru", "resources.json")) as text:
        base = json.load(text)
    selected = [r for r in base if r["kind"] in ("failure_domain", "policy", "service") or
                r["name"] in ("model-01", "model-02", "ledger-01", "ledger-02")]
    for item in selected:
        if item["kind"] == "policy":
            item["spec"]["address_ttl_ms"] = ADDRESS_TTL_MS
        if item["kind"] == "service":
            item["spec"]["first_limit"] = SLOTS
        if item["kind"] == "upstream":
            item["spec"]["max_concurrent"] = SLOTS
    teams = {"school": {}, "ledger-only": {"services": ["ledger"]},
             "small": {"queue_length": 1, "body_bytes": SMALL_BODY}}
    for name, fields in teams.items():
        spec = {"weight": 1, "api_key_hashes": [fleets.sha256("demo-" + name)],
                "services": ["chat", "ledger"], "queue_length": 1000, "body_bytes": 1048576}
        selected.append({"kind": "team", "name": name, "spec": dict(spec, **fields)})
    return selected


# Requests

def request_headers(team="school", **more):
    return dict({"Authorization": "Bearer demo-" + team},
                **{name.replace("_", "-"): value for name, value in more.items()})


def chat_body(text, stream=False, max_tokens=48):
    return json.dumps({"model": MODEL, "messages": [{"role": "user", "content": text}],
                       "max_tokens": max_tokens, "stream": stream})


def send(fleet, node, path, body=None, team="school", method="POST", timeout=20, **more):
    return http(method, fleet.http_address(node), path, body,
                request_headers(team, **more), timeout)


def chat(fleet, node, text, stream=False, team="school", **more):
    return send(fleet, node, "/v1/chat/completions", chat_body(text, stream), team, **more)


def deposit(fleet, node, key, amount=5, **more):
    body = json.dumps({"account": "moana", "amount": amount, "ref": key})
    return send(fleet, node, "/services/ledger/deposits", body, Idempotency_Key=key, **more)


def sse_data(body):
    """The data of each event of an SSE body."""
    return [block[len("data: "):] for block in body.decode().split("\n\n")
            if block.startswith("data: ")]


def stream_tokens(body):
    """(token_index, text) of every chunk that carries a token."""
    found = []
    for data in sse_data(body):
        chunk = {} if data == "[DONE]" else json.loads(data)
        for choice in chunk.get("choices", []):
            if choice.get("delta", {}).get("content"):
                found.append((chunk["token_index"], choice["delta"]["content"]))
    return found


def check_stream(response):
    """Checks that a stream is complete: every chunk has the request id and the
    tokens are in order."""
    status, headers, body = response
    check(status == 200, "status %s: %s" % (status, body[:300]))
    check(sse_data(body)[-1:] == ["[DONE]"], "no [DONE]: %s" % body[-300:])
    ids = {json.loads(d)["id"] for d in sse_data(body)[:-1]}
    check(ids == {headers["X-Request-Id"]}, "ids %s" % ids)
    indices = [index for index, _ in stream_tokens(body)]
    check(indices == list(range(len(indices))) and indices, "token indices %s" % indices)
    return "".join(text for _, text in stream_tokens(body))


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def check_error(response, status, kind, outcome):
    got, headers, body = response
    check(got == status, "status %s, expected %s: %s" % (got, status, body[:300]))
    error_body = json.loads(body)
    check(set(error_body) == {"error", "outcome", "request_id"} and
          set(error_body["error"]) == {"type", "message"}, "shape %s" % error_body)
    check(error_body["error"]["type"] == kind, "type %s, expected %s" % (error_body, kind))
    check(error_body["outcome"] == outcome, "outcome %s" % error_body)
    return headers


def run_concurrently(calls):
    """Runs calls concurrently and returns their results."""
    with concurrent.futures.ThreadPoolExecutor(len(calls)) as pool:
        return [f.result() for f in [pool.submit(call) for call in calls]]


# Stand-ins

def engine_names(fleet):
    return [n for n in fleet.stand_ins if n.startswith("model")]


def worker_names(fleet):
    return [n for n in fleet.stand_ins if n.startswith("ledger")]


def engine_counter(fleet, name):
    return sum(fleet.stand_in_get(n, "/admin/stats")[name] for n in engine_names(fleet))


def requests_at(fleet, names):
    """Number of requests that have reached these stand-ins."""
    total = 0
    for name in names:
        if name.startswith("model"):
            stats = fleet.stand_in_get(name, "/admin/stats")
            total += sum(stats[c] for c in ("running", "completed_total", "cancelled_total",
                                            "broken_total", "refused_total"))
        else:
            load = fleet.stand_in_get(name, "/load")
            total += load["completed_total"] + load["refused_total"]
    return total


def executions(fleet, ref):
    rows = fleet.stand_in_get(worker_names(fleet)[0], "/admin/executions")["executions"]
    return sum(row["ref"] == ref for row in rows)


class stand_in_fault:
    """Injects a fault into some stand-ins for the length of a `with` block."""

    def __init__(self, fleet, names, kind, value):
        self.fleet, self.names, self.kind, self.value = fleet, names, kind, value

    def set_value(self, value):
        for name in self.names:
            status = self.fleet.stand_in_post(name, "/admin/fault",
                                              {"kind": self.kind, "value": value})[0]
            check(status == 200, "fault %s: status %s" % (self.kind, status))

    def __enter__(self):
        self.set_value(self.value)

    def __exit__(self, *_):
        self.set_value(0)


def wait_idle(fleet):
    """Waits until the requests of earlier checks have ended."""
    wait_for(lambda: engine_counter(fleet, "running") == 0 and
             all(fleet.metrics(n)["arbutus_active_requests"] == 0 for n in fleet.all_nodes()),
             DEADLINE_S, "idle fleet")


def prompt_with_tokens(fleet, min_tokens, max_tokens):
    """A prompt whose response has between min_tokens and max_tokens tokens."""
    for number in range(1000):
        text = "statement for family %d" % number
        if min_tokens <= len(stream_tokens(chat(fleet, 1, text, True)[2])) <= max_tokens:
            return text
    raise AssertionError("no prompt has a response of this length")


# Checks

def every_kind(fleet):
    for node in fleet.all_nodes():
        status, headers, body = chat(fleet, node, "hello")
        check(status == 200 and json.loads(body)["id"] == headers["X-Request-Id"],
              "chat: %s %s" % (status, body))
        status, _, body = deposit(fleet, node, "kind-%d" % node)
        check(status == 201 and json.loads(body)["ref"] == "kind-%d" % node,
              "deposit: %s %s" % (status, body))
        status, _, body = send(fleet, node, "/services/ledger/balances/moana", method="GET")
        check(status == 200 and json.loads(body)["account"] == "moana",
              "balance: %s %s" % (status, body))
        status, _, body = send(fleet, node, "/v1/addresses", method="GET")
        check(status == 200 and len(json.loads(body)["addresses"]) == ROUTERS,
              "addresses: %s %s" % (status, body))
        check(send(fleet, node, "/healthz", method="GET")[0] == 200, "healthz")


def streams_complete(fleet):
    texts = {check_stream(chat(fleet, n, "the same prompt", True)) for n in fleet.all_nodes()}
    check(len(texts) == 1, "different responses to one prompt")


CALLER_ERRORS = [
    # what, path, body, team, more headers, status, type
    ("wrong key", "/v1/chat/completions", "chat", "nobody", {}, 401, "invalid_key"),
    ("service not allowed", "/v1/chat/completions", "chat", "ledger-only", {}, 403,
     "service_not_allowed"),
    ("unknown model", "/v1/chat/completions", '{"model":"x","messages":[]}', "school", {}, 404,
     "unknown_model"),
    ("unknown service", "/services/nothing/x", "{}", "school", {}, 404, "unknown_service"),
    ("unknown route", "/services/ledger/nothing", "{}", "school", {}, 404, "unknown_route"),
    ("not JSON", "/v1/chat/completions", "{", "school", {}, 400, "malformed_body"),
    ("no messages", "/v1/chat/completions", '{"model":"kakapo-7b"}', "school", {}, 400,
     "malformed_body"),
    ("large body", "/services/ledger/deposits", " " * (SMALL_BODY + 1), "small", {}, 413,
     "body_too_large"),
    ("large headers", "/v1/chat/completions", "chat", "school", {"X_Filler": "x" * 20000}, 431,
     "header_too_large"),
]


def caller_errors(fleet):
    wait_idle(fleet)
    before = requests_at(fleet, fleet.stand_ins)
    for what, path, body, team, more, status, kind in CALLER_ERRORS:
        body = chat_body("hello") if body == "chat" else body
        try:
            check_error(send(fleet, 2, path, body, team, **more), status, kind, "not_run")
        except (AssertionError, OSError) as error:
            raise AssertionError("%s: %s" % (what, error)) from error
    wait_idle(fleet)
    check(requests_at(fleet, fleet.stand_ins) == before, "a rejected request reached an upstream")


def queue_full(fleet):
    wait_idle(fleet)
    results = []

    def background(team, text):
        thread = threading.Thread(
            target=lambda: results.append(chat(fleet, 2, text, team=team, timeout=60)))
        thread.start()
        return thread

    def gauge(name):
        return fleet.metrics(2)["arbutus_" + name]

    with stand_in_fault(fleet, engine_names(fleet), "delay_first_token_ms", 4000):
        threads = [background("school", "filler %d" % i) for i in range(4 * SLOTS)]
        # There are more requests than slots at all engines, so the rest wait.
        wait_for(lambda: gauge("in_flight_requests") >= 1 and
                 gauge("active_requests") == 4 * SLOTS and gauge("waiting_requests") >= SLOTS,
                 DEADLINE_S, "full engines")
        waiting = gauge("waiting_requests")
        threads.append(background("small", "first"))
        wait_for(lambda: gauge("waiting_requests") > waiting, DEADLINE_S, "waiting request")
        before = requests_at(fleet, fleet.stand_ins)
        response = chat(fleet, 2, "second", team="small")
        headers = check_error(response, 429, "queue_full", "not_run")
        check("Retry-After" in headers, "no Retry-After")
        check(requests_at(fleet, fleet.stand_ins) - before <= 4 * SLOTS, "upstream counters")
    for thread in threads:
        thread.join(DEADLINE_S)
    check([r[0] for r in results] == [200] * len(threads), "statuses %s" %
          [r[0] for r in results])


def broken_stream_resumed(fleet):
    text = prompt_with_tokens(fleet, 8, 12)
    complete_text = check_stream(chat(fleet, 1, text, True))
    resumed = engine_counter(fleet, "resumed_total")
    with stand_in_fault(fleet, engine_names(fleet), "break_stream_after_tokens", 6):
        # Each connection breaks after 6 tokens, so the second one completes the stream.
        resumed_text = check_stream(chat(fleet, 1, text, True))
    check(resumed_text == complete_text, "%r instead of %r" % (resumed_text, complete_text))
    check(engine_counter(fleet, "resumed_total") > resumed, "nothing was resumed")


def wrong_ids(fleet):
    with stand_in_fault(fleet, engine_names(fleet), "wrong_id_percent", 100):
        # Only two requests, because these failures open the circuit breakers.
        for i in range(2):
            status, headers, body = chat(fleet, 1 + i % ROUTERS, "wrong %d" % i, True)
            if status != 200:
                check_error((status, headers, body), 502, json.loads(body)["error"]["type"],
                            json.loads(body)["outcome"])
                continue
            chunks = [json.loads(d) for d in sse_data(body) if d != "[DONE]"]
            ids = {c["id"] for c in chunks if "id" in c}
            check(ids <= {headers["X-Request-Id"]}, "foreign ids %s" % ids)
            check(sse_data(body)[-1] != "[DONE]" and "error" in chunks[-1],
                  "a stream with a wrong chunk ended as complete: %s" % body[-300:])


def caller_disconnects(fleet):
    wait_idle(fleet)
    cancelled = engine_counter(fleet, "cancelled_total")
    body = chat_body("a caller that leaves", True)
    with stand_in_fault(fleet, engine_names(fleet), "delay_first_token_ms", 5000):
        with socket.create_connection(("127.0.0.1", PORT_BASE + 1), DEADLINE_S) as caller:
            caller.sendall(("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                            "Authorization: Bearer demo-school\r\nContent-Length: %d\r\n\r\n%s"
                            % (len(body), body)).encode())
            wait_for(lambda: engine_counter(fleet, "running") == 1, DEADLINE_S, "running stream")
        wait_for(lambda: engine_counter(fleet, "cancelled_total") == cancelled + 1, DEADLINE_S,
                 "cancelled stream")
    wait_idle(fleet)


def recorded_response(fleet):
    first = deposit(fleet, 1, "resend-1")
    check(first[0] == 201, "first: %s" % (first,))
    again = deposit(fleet, 2, "resend-1")
    check((again[0], again[2]) == (first[0], first[2]), "%s after %s" % (again, first))
    check(again[1].get("Idempotency-Replayed") == "true", "not marked: %s" % again[1])
    check(executions(fleet, "resend-1") == 1, "executions")
    check_error(deposit(fleet, 3, "resend-1", amount=6), 422, "claim_mismatch", "not_run")


def executed_without_response(fleet):
    with stand_in_fault(fleet, worker_names(fleet), "close_after_execute_percent", 100):
        check_error(deposit(fleet, 1, "closed-1"), 502, "upstream_failed", "unknown")
    again = deposit(fleet, 2, "closed-1")
    check(json.loads(again[2])["outcome"] == "unknown", "resend: %s" % (again,))
    check(executions(fleet, "closed-1") == 1, "executions")


def wait_in_force(fleet, revision):
    wait_for(lambda: all(fleet.metrics(n)["arbutus_config_revision"] >= revision
                         for n in fleet.all_nodes()), DEADLINE_S, "revision in force")


def domain_out(fleet):
    wait_idle(fleet)
    domain = "nz-north-1"
    out = [r["name"] for r in fleet.resources if r["kind"] == "upstream" and
           r["spec"]["failure_domain"] == domain]
    wait_in_force(fleet, fleet.change("failure_domain", domain, state="out")["revision"])
    before = requests_at(fleet, out)
    for i in range(12):
        status, headers, _ = chat(fleet, 1 + i % ROUTERS, "out %d" % i)
        check(status == 200 and headers["X-Arbutus-Upstream"] not in out, "%s" % headers)
        status, headers, _ = deposit(fleet, 1 + i % ROUTERS, "out-%d" % i)
        check(status == 201 and headers["X-Arbutus-Upstream"] not in out, "%s" % headers)
    check(requests_at(fleet, out) == before, "new work went to a domain that is out")
    wait_in_force(fleet, fleet.change("failure_domain", domain, state="in")["revision"])

    def returned_domain_used():
        # More concurrent requests than the other engine has slots.
        responses = run_concurrently([lambda i=i: chat(fleet, 1 + i % ROUTERS, "back %d" % i)
                                      for i in range(2 * SLOTS)])
        return any(a[1].get("X-Arbutus-Upstream") in out for a in responses)
    with stand_in_fault(fleet, engine_names(fleet), "delay_first_token_ms", 200):
        wait_for(returned_domain_used, DEADLINE_S, "work in the returned domain")


def leader_and_others(fleet):
    leader = wait_for(fleet.leader, DEADLINE_S, "leader")
    return leader, [n for n in fleet.all_nodes() if n != leader]


def restart(fleet, node):
    fleet.start_node(node)
    fleet.wait_ready(DEADLINE_S)


def graceful_shutdown(fleet):
    wait_idle(fleet)
    _, others = leader_and_others(fleet)
    node = others[0]
    mix = [{"kind": "get", "path": "/services/ledger/balances/{account}", "weight": 2},
           {"kind": "post", "path": "/services/ledger/deposits", "weight": 1,
            "body": {"account": "{account}", "amount": 1, "ref": "{ref}"}},
           {"kind": "chat_stream", "model": MODEL, "prompt_bytes": [50, 200],
            "max_tokens": [8, 32], "weight": 1}]
    team = {"name": "school", "api_key": "demo-school", "accounts": 20,
            "arrival": {"rate": 40}, "mix": mix}
    load = common.Load(fleet.run_dir, [team], [], 5, 1,
                       ["--ask=" + ",".join(common.targets(fleet)), "--threads=1"], "drain")
    wait_for(lambda: any(fleet.metrics(n)["arbutus_active_requests"] > 0
                         for n in fleet.all_nodes()), DEADLINE_S, "load")
    fleet.nodes[node].signal(signal.SIGTERM)
    fleet.nodes[node].wait(DEADLINE_S)
    check(fleet.nodes[node].child.returncode == 0, "exit status %s" %
          fleet.nodes[node].child.returncode)
    total = load.result(60)["total"]
    check(total["sent"] > 0 and total["ok"] == total["sent"], "%s of %s requests: %s" % (
        total["ok"], total["sent"], total["errors"]))
    check(total["incomplete"] == 0 and total["wrong"] == 0, "incomplete or wrong responses")
    restart(fleet, node)


def kill_leader(fleet):
    check(deposit(fleet, 2, "leader-1")[0] == 201, "deposit before")
    leader, others = leader_and_others(fleet)
    fleet.nodes[leader].signal(signal.SIGKILL)
    fleet.nodes[leader].wait(DEADLINE_S)
    try:
        wait_for(lambda: fleet.leader() in others, DEADLINE_S, "new leader")
        for node in others:
            wait_for(lambda n=node: fleet.serving(n), DEADLINE_S, "service")
            check_stream(chat(fleet, node, "no leader", True))
            again = wait_for(lambda n=node: unless_unavailable(deposit(fleet, n, "leader-1")),
                             DEADLINE_S, "recorded response")
            check(again[0] == 201 and again[1].get("Idempotency-Replayed") == "true",
                  "record lost: %s" % (again,))
        check(executions(fleet, "leader-1") == 1, "executions")
        revision = fleet.change("team", "small", weight=2)["revision"]
        wait_for(lambda: all(fleet.metrics(n)["arbutus_config_revision"] >= revision
                             for n in others), DEADLINE_S, "change in force")
    finally:
        restart(fleet, leader)  # later checks need all nodes


def unless_unavailable(response):
    """The response, or None if its status is 503."""
    return None if response[0] == 503 else response


def kill_router(fleet):
    node = NON_VOTER
    alive = [n for n in fleet.all_nodes() if n != node]
    fleet.nodes[node].signal(signal.SIGKILL)
    fleet.nodes[node].wait(DEADLINE_S)
    for other in alive:
        check_stream(chat(fleet, other, "one router less", True, timeout=DEADLINE_S))
        check(deposit(fleet, other, "router-%d" % other, timeout=DEADLINE_S)[0] == 201, "deposit")

    def removed_from_addresses():
        return all(fleet.http_address(node) not in
                   [a["address"] for a in json.loads(
                       send(fleet, n, "/v1/addresses", method="GET")[2])["addresses"]]
                   for n in alive)
    wait_for(removed_from_addresses, DEADLINE_S, "addresses without the lost router")
    restart(fleet, node)
    check_stream(chat(fleet, node, "back again", True))


def session_ended(fleet):
    """A node is paused until its session expires. When it continues, it must notice
    this and register again with a new incarnation."""
    leader, _ = leader_and_others(fleet)
    node = NON_VOTER
    fleet.nodes[node].signal(signal.SIGSTOP)
    try:
        wait_for(lambda: all(n["id"] != node for n in fleet.status(leader)["nodes"]), DEADLINE_S,
                 "end of the session")
    finally:
        fleet.nodes[node].signal(signal.SIGCONT)
    wait_for(lambda: fleet.serving(node), DEADLINE_S, "service of the stopped node")
    check_stream(chat(fleet, node, "running again", True))


CHECKS = [
    ("every kind of request", every_kind),
    ("streamed answers are complete", streams_complete),
    ("errors of a caller", caller_errors),
    ("a full queue", queue_full),
    ("a broken stream is resumed", broken_stream_resumed),
    ("wrong chunk ids never reach the caller", wrong_ids),
    ("a caller that leaves cancels its stream", caller_disconnects),
    ("a resend gets the recorded answer", recorded_response),
    ("executed without an answer is unknown", executed_without_response),
    ("a failure domain out gets no new work", domain_out),
    ("graceful shutdown loses no request", graceful_shutdown),
    ("a node comes back after its session", session_ended),
    ("kill -9 of the leader", kill_leader),
    ("kill -9 of a router", kill_router),
]


def known_red():
    """Names of the checks that KNOWN-RED.txt lists as `test: e2e NAME`."""
    root = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
    with open(os.path.join(root, "KNOWN-RED.txt"), encoding="utf-8") as lines:
        return {line[len("test: e2e "):].strip() for line in lines
                if line.startswith("test: e2e ")}


def run_checks(fleet, names):
    failed = 0
    red = known_red()
    for name, function in CHECKS:
        if names and name not in names:
            continue
        started = time.monotonic()
        try:
            function(fleet)
            verdict = "ok  "
        except Exception:  # later checks run after a failed one
            failed += name not in red
            verdict = "KNOWN-RED" if name in red else "FAIL"
            traceback.print_exc(file=sys.stdout)
        print("%s %s (%.1f s)" % (verdict, name, time.monotonic() - started), flush=True)
    return failed


def stop_on_signal(*_):
    sys.exit("stopped by a signal")


def main():
    signal.signal(signal.SIGTERM, stop_on_signal)
    run_dir = tempfile.mkdtemp(prefix="arbutus-e2e-")
    fleet = fleets.Fleet("kereru", run_dir, routers=ROUTERS, voters=VOTERS,
                         port_base=PORT_BASE, port_shift=PORT_SHIFT, resources=resources(),
                         engine_flags=["--token-ms=5", "--first-token-ms=5", "--start-warm"])
    failed = 1
    try:
        fleet.start()
        failed = run_checks(fleet, sys.argv[1:])
    finally:
        fleet.stop()
        if failed and os.environ.get("KEEP_RUN_DIR"):
            print("kept " + run_dir)
        else:
            shutil.rmtree(run_dir, ignore_errors=True)
    print("%d of %d checks failed" % (failed, len(CHECKS)))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
