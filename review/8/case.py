"""A new upstream counts its pings from 0, and the agent beside it is killed before the second."""

import json
import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import deployment as d  # noqa: E402
import packets as p  # noqa: E402

FIRST_SEQ = int(os.environ.get("FIRST_SEQ", "0"))
ROUTE = (d.ROUTE_HOST, d.ROUTE_PORT)


def wait_for(what, condition, limit_s):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise d.NotRun(what)
        time.sleep(0.01)


def case(deployment, record, trouble):
    core = [deployment.control(number) for number in range(1, 6)]
    fronts = [deployment.balancer(number) for number in (11, 12)]
    sides = [deployment.agent(21, "beta"), deployment.agent(22, "beta"), deployment.agent(23, "alpha")]
    seeds = [d.control_address(replica) for replica in core[:3]]
    operator = d.Operator(record, lambda: core)
    for process in core + fronts + sides[:2]:
        process.write_settings(True, seeds)
        process.start()
    old = [p.Server(record, side.address, "beta", f"i-{side.name}", FIRST_SEQ)
           for side in sides[:2]]
    if operator.order("/Config.Replace", json.dumps(d.configuration(3)).encode()) != 200:
        raise d.NotRun("the first configuration was not acknowledged")
    wait_for("the balancers did not become ready", lambda: all(map(p.ready, fronts)), 15.0)
    callers = p.Callers(record, f"{deployment.net}.100")
    time.sleep(3.0)

    # A server is added, with its VM.
    agent = sides[2]
    agent.write_settings(False, seeds)
    agent.start()
    time.sleep(1.5)
    new = p.Server(record, agent.address, "alpha", "i-new", FIRST_SEQ, cold_s=2.0)
    wait_for("the first ping was not acknowledged", lambda: new.pings, 2.0)
    record.note(f"pings of i-new: {new.pings}")

    flows = [callers.flow(41000 + i, ROUTE) for i in range(16)]
    threads = [threading.Thread(target=flow.start, args=(fronts[i % 2],))
               for i, flow in enumerate(flows)]
    for thread in threads:
        thread.start()
    time.sleep(0.2)
    if trouble:
        agent.signal(signal.SIGKILL)
        agent.child.wait()
        time.sleep(0.2)
        agent.start()
    for thread in threads:
        thread.join()
    held = {key[1] for key, flow in new.flows.items() if flow[2]}
    record.note(f"open flows at i-new: {sorted(held)}; elsewhere: {[len(s.flows) for s in old]}")
    if not held:
        raise d.NotRun("no flow was opened at the new server")
    # All VMs have been in touch for longer than contact_ms.
    time.sleep(d.CONTACT_S + 1.5)
    record.note(f"pings of i-new: {new.pings}")

    broken = 0
    for i, flow in enumerate(flows):
        if not flow.open:
            continue
        key = (callers.number, flow.port, p.number(d.ROUTE_HOST), d.ROUTE_PORT)
        was_held = key in new.flows and new.flows[key][2]
        outcome = flow.request(f"q-{i}", fronts[(i + 1) % 2])
        still_held = key in new.flows
        if was_held or outcome != "200":
            record.note(f"flow {flow.port}: request q-{i} through {fronts[(i + 1) % 2].name}: {outcome}"
                        f"{', held by i-new' if was_held else ''}"
                        f"{f', reset from {flow.reset[1]}' if flow.reset else ''}"
                        f"{', which i-new still holds' if flow.reset and still_held else ''}")
        broken += 1 if outcome == "reset" and was_held and still_held else 0
    record.note(f"most openings at i-new in one second: {new.most_openings_in_a_second()}")
    record.note(f"open flows that got a reset: {broken}")
    callers.close()
    for server in old + [new]:
        server.stop()
    return d.BROKEN if broken else d.HELD


if __name__ == "__main__":
    d.main(case, HERE)
