"""Faults of the processes that a measurement has started. Each fault is injected,
lasts for some seconds, is repaired, and is recorded with its time."""

import os
import shutil
import signal
import time

import fleet as fleets
from . import _common as common

# Longer than the 2.8 s lease and the 1.6 s election timeout, so that sessions
# end and a new leader is elected while the fault lasts.
FAULT_S = 4.0
REPAIR_TIMEOUT_S = 30
PORTS = {"port_base": 30000, "port_shift": 10000}


def crash_node(fleet, node):
    fleet.nodes[node].signal(signal.SIGKILL)
    fleet.nodes[node].wait(5)


def current_leader(fleet):
    return fleets.wait_for(fleet.leader, REPAIR_TIMEOUT_S, "leader")


def wait_serving(fleet, nodes=None):
    """Waits until all of the nodes serve requests."""
    for node in nodes or fleet.all_nodes():
        fleets.wait_for(lambda n=node: fleet.serving(n), REPAIR_TIMEOUT_S, "service of r%d" % node)


def kill_node(fleet, node, seconds=FAULT_S):
    crash_node(fleet, node)
    time.sleep(seconds)
    fleet.start_node(node)


def pause_node(fleet, node, seconds=FAULT_S):
    fleet.nodes[node].signal(signal.SIGSTOP)
    time.sleep(seconds)
    fleet.nodes[node].signal(signal.SIGCONT)


def cut_node(fleet, node, seconds=FAULT_S):
    fleet.cut(node, [n for n in fleet.all_nodes() if n != node])
    time.sleep(seconds)
    fleet.cut(node, [])


def lose_data(fleet, node, seconds=FAULT_S):
    """Kills the process, deletes its data directory and starts it again."""
    crash_node(fleet, node)
    shutil.rmtree(os.path.join(fleet.run_dir, "data-%d" % node))
    time.sleep(seconds)
    fleet.start_node(node)


def restart_worker(fleet, name, seconds=FAULT_S):
    worker = fleet.stand_ins[name]
    worker.signal(signal.SIGKILL)
    worker.wait(5)
    time.sleep(seconds)
    worker.start()


def pause_worker(fleet, name, seconds=FAULT_S):
    fleet.stand_ins[name].signal(signal.SIGSTOP)
    time.sleep(seconds)
    fleet.stand_ins[name].signal(signal.SIGCONT)


def worker_fault(fleet, names, kind, value, seconds=FAULT_S):
    """Injects a fault into these stand-ins for some seconds."""
    for name in names:
        fleet.stand_in_post(name, "/admin/fault", {"kind": kind, "value": value})
    time.sleep(seconds)
    for name in names:
        fleet.stand_in_post(name, "/admin/fault", {"kind": kind, "value": 0})


class FaultSequence:
    """Injects faults one after the other and records them."""

    def __init__(self, fleet):
        self.fleet, self.records, self.started = fleet, [], time.monotonic()

    def run(self, description, action, *arguments):
        at = time.monotonic() - self.started
        target = [a for a in arguments[:1] if isinstance(a, (int, str))]
        common.log("%6.1f s  %s %s" % (at, description, " ".join(map(str, target))))
        action(self.fleet, *arguments)
        self.records.append({"fault": description, "target": target[0] if target else None,
                             "at_s": round(at, 1),
                             "until_s": round(time.monotonic() - self.started, 1)})
