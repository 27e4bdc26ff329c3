"""Faults on processes that a measurement has started itself. Each round
breaks something, waits, repairs it and notes what was broken and when."""

import os
import shutil
import signal
import time

import fleet as fleets
from . import _common as common

# Longer than the 2.8 s lease and the 1.6 s election timeout, so that sessions
# end and a new leader is elected while the fault lasts.
FAULT_SECONDS = 4.0
REPAIR_DEADLINE = 30
PORTS = {"port_base": 30000, "port_shift": 10000}


def crash_node(fleet, node):
    fleet.nodes[node].signal(signal.SIGKILL)
    fleet.nodes[node].wait(5)


def current_leader(fleet):
    return fleets.wait_for(fleet.leader, REPAIR_DEADLINE, "leader")


def serving(fleet, nodes=None):
    """Waits until every one of the nodes serves."""
    for node in nodes or fleet.all_nodes():
        fleets.wait_for(lambda n=node: fleet.serving(n), REPAIR_DEADLINE, "service of r%d" % node)


def kill_node(fleet, node, seconds=FAULT_SECONDS):
    crash_node(fleet, node)
    time.sleep(seconds)
    fleet.start_node(node)


def pause_node(fleet, node, seconds=FAULT_SECONDS):
    fleet.nodes[node].signal(signal.SIGSTOP)
    time.sleep(seconds)
    fleet.nodes[node].signal(signal.SIGCONT)


def cut_node(fleet, node, seconds=FAULT_SECONDS):
    fleet.cut(node, [n for n in fleet.all_nodes() if n != node])
    time.sleep(seconds)
    fleet.cut(node, [])


def lose_data(fleet, node, seconds=FAULT_SECONDS):
    """The process ends and comes back without its data directory."""
    crash_node(fleet, node)
    shutil.rmtree(os.path.join(fleet.run_dir, "data-%d" % node))
    time.sleep(seconds)
    fleet.start_node(node)


def restart_worker(fleet, name, seconds=FAULT_SECONDS):
    worker = fleet.stand_ins[name]
    worker.signal(signal.SIGKILL)
    worker.wait(5)
    time.sleep(seconds)
    worker.start()


def pause_worker(fleet, name, seconds=FAULT_SECONDS):
    fleet.stand_ins[name].signal(signal.SIGSTOP)
    time.sleep(seconds)
    fleet.stand_ins[name].signal(signal.SIGCONT)


def worker_fault(fleet, names, kind, value, seconds=FAULT_SECONDS):
    """Sets a fault of the stand-ins for some seconds."""
    for name in names:
        fleet.stand_in_post(name, "/admin/fault", {"kind": kind, "value": value})
    time.sleep(seconds)
    for name in names:
        fleet.stand_in_post(name, "/admin/fault", {"kind": kind, "value": 0})


class Rounds:
    """Carries out faults one after the other and notes them."""

    def __init__(self, fleet):
        self.fleet, self.done, self.started = fleet, [], time.monotonic()

    def run(self, what, action, *arguments):
        at = time.monotonic() - self.started
        target = [a for a in arguments[:1] if isinstance(a, (int, str))]
        common.log("%6.1f s  %s %s" % (at, what, " ".join(map(str, target))))
        action(self.fleet, *arguments)
        self.done.append({"fault": what, "target": target[0] if target else None,
                          "at_s": round(at, 1),
                          "until_s": round(time.monotonic() - self.started, 1)})
