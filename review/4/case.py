"""An order that a frozen control machine had not read is carried out when the machine wakes."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from deployment import BOUNDS, CannotRun, Requester, run_case  # noqa: E402

FREEZE_S = 7.0
FLOWS_PER_S = 40


def case(deployment, trouble):
    record = deployment.record
    deployment.start()
    if deployment.order("/Config.Replace", deployment.configuration(7, "work"), limit_s=30) is None:
        raise CannotRun("the first configuration was not acknowledged")
    servers = [deployment.add_server(zone, "work") for zone in ("zone-a", "zone-a", "zone-b")]
    deployment.ready()
    time.sleep(3)
    requester = deployment.requester = Requester(deployment, deployment.route())

    def traffic():
        while not requester.stopping:
            requester.open()
            time.sleep(1 / FLOWS_PER_S)

    threading.Thread(target=traffic, daemon=True).start()
    time.sleep(2)
    if not servers[2].opened:
        raise CannotRun("zone-b gets no traffic before its evacuation")
    if deployment.order("/Evacuate.Start/zone-b") is None:
        raise CannotRun("the first evacuation was not acknowledged")
    time.sleep(3)

    leader = deployment.leader()
    frozen = next(node for node in deployment.controls if node is not leader)
    if trouble:
        record.write(f"{frozen.name} freezes")
        frozen.signal(signal.SIGSTOP)
    frozen_at = time.monotonic()
    if deployment.order("/Evacuate.Finish/zone-b", first=frozen) is None:
        raise CannotRun("the end of the evacuation was not acknowledged")
    time.sleep(max(0, frozen_at + FREEZE_S - 1.0 - time.monotonic()))
    others = [node for node in deployment.controls if node is not frozen]
    acknowledged = deployment.order("/Evacuate.Start/zone-b", first=others[0])
    if acknowledged is None:
        raise CannotRun("the second evacuation was not acknowledged")
    record.write("second evacuation acknowledged")
    time.sleep(max(0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble:
        record.write(f"{frozen.name} wakes")
        frozen.signal(signal.SIGCONT)
    woken = time.monotonic()

    # All machines are in touch contact_ms after the end of the freeze. The evacuation is not
    # withdrawn before the end of the case.
    judged_from = max(acknowledged + BOUNDS["evacuate_ms"] / 1000,
                      woken + BOUNDS["contact_ms"] / 1000)
    time.sleep(max(0, judged_from + 5 - time.monotonic()))
    late = [opened for opened in servers[2].opened if opened[0] > judged_from]
    total = sum(1 for server in servers for opened in server.opened if opened[0] > judged_from)
    record.write(f"from {judged_from - record.start:.3f} on, {len(late)} of {total} flows were "
                 "opened at the server in zone-b, whose evacuation is in force")
    if total == 0:
        raise CannotRun("no traffic")
    return bool(late)


run_case(HERE, case)
