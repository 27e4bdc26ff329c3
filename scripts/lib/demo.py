"""Demo: sends every kind of request, then takes a failure domain out of service
and back."""

import json
import os
import shutil
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import fleet as fleets  # noqa: E402
from fleet import http  # noqa: E402


def auth_header(team):
    return {"Authorization": "Bearer demo-" + team}


def show(title, response, started):
    status, headers, body = response
    print("%-34s %s  %4.0f ms  router %s  upstream %s" % (
        title, status, (time.monotonic() - started) * 1000,
        headers.get("X-Arbutus-Node", "-"), headers.get("X-Arbutus-Upstream", "-")))
    text = body.decode(errors="replace").strip().replace("\n\n", " | ")
    print("    " + (text if len(text) < 160 else text[:120] + " ... " + text[-36:]))


def send(title, method, address, path, team, body=None, **headers):
    started = time.monotonic()
    merged = dict(auth_header(team), **{k.replace("_", "-"): v for k, v in headers.items()})
    response = http(method, address, path, None if body is None else json.dumps(body), merged)
    show(title + " (" + team + ")", response, started)
    return response


def chat_body(model, text, **fields):
    return dict({"model": model, "messages": [{"role": "user", "content": text}],
                 "max_tokens": 12}, **fields)


def send_requests(fleet, profile):
    teams = [r["name"] for r in fleet.resources if r["kind"] == "team"]
    model = next(r["spec"]["model"] for r in fleet.resources
                 if r["kind"] == "service" and r["spec"]["kind"] == "model")
    response = http("GET", fleet.http_address(1), "/v1/addresses", headers=auth_header(teams[0]))
    addresses = [a["address"] for a in json.loads(response[2])["addresses"]]
    print("addresses, best first: %s, TTL %d ms" % (
        ", ".join(addresses[:3]) + " ...", json.loads(response[2])["ttl_ms"]))
    first, second = addresses[0], addresses[1]
    send("streamed chat", "POST", first, "/v1/chat/completions", teams[0],
         chat_body(model, "term statement for family 7", stream=True))
    send("chat", "POST", second, "/v1/chat/completions", teams[1],
         chat_body(model, "what does this quote mean?"))
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


def cycle_domain(fleet, profile):
    domain = fleet.domain_names()[0]
    started = time.monotonic()
    revision = fleet.change("failure_domain", domain, state="out")["revision"]
    fleets.wait_for(lambda: all(n["revision"] >= revision for n in fleet.status()["nodes"]),
                    10, "all nodes to apply the revision")
    print("failure domain %s is out: applied by %d nodes after %.0f ms" % (
        domain, len(fleet.status()["nodes"]), (time.monotonic() - started) * 1000))
    model = next(r["spec"]["model"] for r in fleet.resources
                 if r["kind"] == "service" and r["spec"]["kind"] == "model")
    team = next(r["name"] for r in fleet.resources if r["kind"] == "team")
    for i in range(3):
        send("chat while it is out", "POST", fleet.http_address(1 + i),
             "/v1/chat/completions", team, chat_body(model, "layout %d" % i))
    fleet.change("failure_domain", domain, state="in")
    print("failure domain %s is back in service" % domain)
    send("chat after its return", "POST", fleet.http_address(1), "/v1/chat/completions",
         team, chat_body(model, "layout 4"))


def print_hints(fleet, profile):
    print("\nstill running in %s; try:" % fleet.run_dir)
    team = next(r["name"] for r in fleet.resources if r["kind"] == "team")
    model = next(r["spec"]["model"] for r in fleet.resources
                 if r["kind"] == "service" and r["spec"]["kind"] == "model")
    address = fleet.http_address(1)
    print("  curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer demo-%s' -d '%s'"
          % (address, team, json.dumps(chat_body(model, "hello", stream=True))))
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
        send_requests(fleet, profile)
        cycle_domain(fleet, profile)
        if keep:
            print_hints(fleet, profile)
    finally:
        fleet.stop()
        if not keep:
            shutil.rmtree(run_dir, ignore_errors=True)
    print("stopped all processes")


if __name__ == "__main__":
    main()
