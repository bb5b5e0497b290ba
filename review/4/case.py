"""A node that restarts during a server's first heartbeat interval denies the server's flows."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from deployment import BOUNDS, CannotRun, Requester, run_case  # noqa: E402

WARM_UP_S = 2.0
RESTART_DELAY_S = 0.1


def case(deployment, trouble):
    record = deployment.record
    deployment.start()
    if deployment.order("/Config.Replace", deployment.configuration(7, "work"), limit_s=30) is None:
        raise CannotRun("the first configuration was not acknowledged")
    # Other servers, whose nodes hold registrations of flows.
    for zone in ("zone-a", "zone-b"):
        deployment.add_server(zone, "other")
    deployment.ready()
    time.sleep(3)
    requester = deployment.requester = Requester(deployment, deployment.route())

    server = deployment.add_server("zone-c", "work", first_seq=0, beats_from=float("inf"))
    time.sleep(1.5)
    server.born = int(time.time() * 1000)
    server.turn_cold(WARM_UP_S)
    started = time.monotonic()
    server.next_beat = started
    time.sleep(0.1)
    flows = []
    for _ in range(5):
        flows.append(requester.open(keep=True))
        time.sleep(0.06)
    time.sleep(max(0, started + 0.5 - time.monotonic()))
    opened = [flow for flow in flows if flow["state"] == "idle"]
    if not opened:
        raise CannotRun("no flow was opened at the new server")
    if trouble:
        record.write(f"{server.node.name} is killed")
        server.node.kill()
        time.sleep(RESTART_DELAY_S)
        record.write(f"{server.node.name} starts again")
        server.node.start()
    restarted = time.monotonic()

    # In touch contact_ms after the restart; the flows are idle for less than idle_timeout_ms.
    time.sleep(max(0, restarted + BOUNDS["contact_ms"] / 1000 + 1 - time.monotonic()))
    for flow in opened:
        requester.request(flow)
        time.sleep(0.05)
    time.sleep(5.5)
    reset = [flow for flow in opened if "reset_in" in flow]
    answered = [flow for flow in opened if flow["requests"] == 2 and flow["state"] == "idle"]
    record.write(f"{len(opened)} flows were open at a server that lives: {len(answered)} answered, "
                 f"{len(reset)} reset by the system")
    return bool(reset)


run_case(HERE, case)
