"""The demonstration: every kind of request, a failure domain out and back."""

import json
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
from fleet import http  # noqa: E402


def key_of(team):
    return {"Authorization": "Bearer demo-" + team}


def show(title, answer, started):
    status, headers, body = answer
    print("%-34s %s  %4.0f ms  router %s  upstream %s" % (
        title, status, (time.monotonic() - started) * 1000,
        headers.get("X-Arbutus-Node", "-"), headers.get("X-Arbutus-Upstream", "-")))
    text = body.decode(errors="replace").strip().replace("\n\n", " | ")
    print("    " + (text if len(text) < 160 else text[:120] + " ... " + text[-36:]))


def send(title, method, address, path, team, body=None, **headers):
    started = time.monotonic()
    merged = dict(key_of(team), **{k.replace("_", "-"): v for k, v in headers.items()})
    answer = http(method, address, path, None if body is None else json.dumps(body), merged)
    show(title + " (" + team + ")", answer, started)
    return answer


def chat(model, text, **fields):
    return dict({"model": model, "messages": [{"role": "user", "content": text}],
                 "max_tokens": 12}, **fields)


def requests(fleet, profile):
    teams = [r["name"] for r in fleet.resources if r["kind"] == "team"]
    model = next(r["spec"]["model"] for r in fleet.resources
                 if r["kind"] == "service" and r["spec"]["kind"] == "model")
    answer = http("GET", fleet.http_address(1), "/v1/addresses", headers=key_of(teams[0]))
    addresses = [a["address"] for a in json.loads(answer[2])["addresses"]]
    print("addresses, best first: %s, kept for %d ms" % (
        ", ".join(addresses[:3]) + " ...", json.loads(answer[2])["ttl_ms"]))
    first, second = addresses[0], addresses[1]
    send("streamed chat", "POST", first, "/v1/chat/completions", teams[0],
         chat(model, "term statement for family 7", stream=True))
    send("chat", "POST", second, "/v1/chat/completions", teams[1],
         chat(model, "what does this quote mean?"))
    if profile == "kereru":
        deposit = {"account": "moana", "amount": 5, "ref": "demo-1"}
        send("deposit", "POST", first, "/services/ledger/deposits", teams[0], deposit,
             Idempotency_Key="demo-1")
        send("the same deposit, other router", "POST", second,
             "/services/ledger/deposits", teams[0], deposit, Idempotency_Key="demo-1")
        send("balance", "GET", second, "/services/ledger/balances/moana", teams[2])
    else:
        order = {"item": "bronze gnomon", "ref": "demo-1"}
        send("order", "POST", first, "/services/shop/orders", teams[0], order,
             Idempotency_Key="demo-1")
        send("the same order, other router", "POST", second, "/services/shop/orders",
             teams[0], order, Idempotency_Key="demo-1")
        send("order lookup", "GET", second, "/services/shop/orders/demo-1", teams[2])
    started = time.monotonic()
    show("wrong key", http("POST", first, "/v1/chat/completions", "{}",
                           {"Authorization": "Bearer wrong"}), started)


def move_domain(fleet, profile):
    domain = fleet.domain_names()[0]
    started = time.monotonic()
    revision = fleet.change("failure_domain", domain, state="out")["revision"]
    fleets.wait_for(lambda: all(n["revision"] >= revision for n in fleet.status()["nodes"]),
                    10, "revision in force")
    print("failure domain %s out: in force on %d nodes after %.0f ms" % (
        domain, len(fleet.status()["nodes"]), (time.monotonic() - started) * 1000))
    model = next(r["spec"]["model"] for r in fleet.resources
                 if r["kind"] == "service" and r["spec"]["kind"] == "model")
    team = next(r["name"] for r in fleet.resources if r["kind"] == "team")
    for i in range(3):
        send("chat while it is out", "POST", fleet.http_address(1 + i),
             "/v1/chat/completions", team, chat(model, "layout %d" % i))
    fleet.change("failure_domain", domain, state="in")
    print("failure domain %s back in service" % domain)
    send("chat after its return", "POST", fleet.http_address(1), "/v1/chat/completions",
         team, chat(model, "layout 4"))


def print_hints(fleet, profile):
    print("\nstill running in %s; try:" % fleet.run_dir)
    team = next(r["name"] for r in fleet.resources if r["kind"] == "team")
    model = next(r["spec"]["model"] for r in fleet.resources
                 if r["kind"] == "service" and r["spec"]["kind"] == "model")
    address = fleet.http_address(1)
    print("  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer demo-%s' -d '%s'"
          % (address, team, json.dumps(chat(model, "hello", stream=True))))
    print("  curl -s http://%s/v1/addresses" % address)
    print("  curl -s http://%s/api/v1/status -H 'Authorization: Bearer %s'"
          % (address, fleets.OPERATOR_KEY))
    print("press Enter to stop")
    try:
        sys.stdin.readline()
    except KeyboardInterrupt:
        pass


def main():
    arguments = sys.argv[1:]
    keep = "--keep" in arguments
    names = [a for a in arguments if not a.startswith("--")]
    profile = names[0] if names else "kereru"
    if profile not in ("kereru", "zawal"):
        sys.exit("usage: scripts/demo [kereru|zawal] [--keep]")
    run_dir = tempfile.mkdtemp(prefix="arbutus-demo-")
    fleet = fleets.Fleet(profile, run_dir)
    try:
        started = time.monotonic()
        fleet.start()
        print("%s: %d routers and %d upstreams in service after %.1f s" % (
            profile, fleet.router_count, len(fleet.stand_ins), time.monotonic() - started))
        requests(fleet, profile)
        move_domain(fleet, profile)
        if keep:
            print_hints(fleet, profile)
    finally:
        fleet.stop()
        if not keep:
            shutil.rmtree(run_dir, ignore_errors=True)
    print("stopped everything that was started")


if __name__ == "__main__":
    main()
