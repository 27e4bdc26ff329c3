"""The operator sends one invalid configuration, and sends it again as long as it gets
no clear answer. Exits with 1 if machines close kept connections without an answer to
requests that workers run, because their processes end."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "stand2"))
import stand  # noqa: E402

CLIENTS_A_MACHINE = 3
ORDER_BYTES = 2 * 1024 * 1024  # half of the deployment's largest body
ORDER_S = 20.0
AFTER_S = 3.0
LOST_ALLOWED = 3


def cut_short(config):
    """A configuration that cannot be read in full. With trouble, its brackets nest."""
    text = json.dumps(config)
    if not stand.trouble():
        return text[:len(text) // 2].encode()
    begin = '{"version":%d,"routes":' % config["version"]
    return (begin + "[" * (ORDER_BYTES - len(begin))).encode()


async def main(record):
    fleet = stand.Fleet(record)
    for _ in range(3):
        fleet.add_worker("kk-ledger", 6, 0.06)
    routes = [stand.make_route("pay", "/pay/", "unsafe", "kk-ledger", attempts=1),
              stand.make_route("look", "/look/", "safe", "kk-ledger")]
    services = [stand.make_service("kk-ledger")]
    try:
        await fleet.start()
        await stand.send_config(record, fleet, stand.make_config(1, routes, services))
        await fleet.wait_ready()
        clients = []
        for machine in fleet.machines:
            for _ in range(CLIENTS_A_MACHINE):
                clients.append(stand.KeptClient(record, machine, "POST", "/pay/coin", b"coin=5"))
        running = [asyncio.ensure_future(c.run()) for c in clients]
        await asyncio.sleep(stand.CONTACT_WINDOW_S + 0.5)
        record.write("calm", answered=sum(c.answered for c in clients),
                     peak_kb=[m.memory_kb()[1] for m in fleet.machines])
        body = cut_short(stand.make_config(2, routes, services))
        record.write("order", bytes=len(body))
        status = await stand.send_order(record, fleet.control(), "PUT", "/v1/config", body,
                                        time.monotonic() + ORDER_S, "invalid config")
        await asyncio.sleep(AFTER_S)
        for client in clients:
            client.stopping = True
        await asyncio.wait(running, timeout=6)
        ran = {r["attempt"] for w in fleet.workers for r in w.runs}
        lost = [a for c in clients for a in c.lost if a in ran]
        ends = {m.name: len(m.ends) for m in fleet.machines}
        record.write("summary", order_status=status, answered=sum(c.answered for c in clients),
                     lost=len(lost), process_ends=ends,
                     peak_kb={m.name: m.peak_kb for m in fleet.machines})
        if not any(c.answered for c in clients):
            raise stand.CannotRun("no request was answered at all")
        return stand.BROKEN if len(lost) > LOST_ALLOWED else stand.HELD
    finally:
        fleet.stop()


stand.run_case(main, FOLDER)
