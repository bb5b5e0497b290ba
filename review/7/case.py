"""A late copy of an order takes a zone back that was evacuated again."""

import json
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import deployment as d  # noqa: E402
import link as l  # noqa: E402
import packets as p  # noqa: E402

ROUTE = (d.ROUTE_HOST, d.ROUTE_PORT)
EVACUATE_S = 5.0 # evacuate_ms
HOLD_UP_S = 4.0  # The longest cut of the site is 5.5 s.
ZONE = "zone-a"


def wait_for(what, condition, limit_s):
    end = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > end:
            raise d.NotRun(what)
        time.sleep(0.05)


def case(deployment, record, trouble):
    core = [deployment.control(number) for number in range(1, 6)]
    fronts = [deployment.balancer(number) for number in (11, 12)]
    sides = [deployment.agent(number, "alpha") for number in (21, 22)]
    for process in core + fronts + sides[1:]:
        process.fields["data_centre"] = "zone-b"
    seeds = [d.control_address(replica) for replica in core[:3]]
    for process in core + fronts + sides:
        process.write_settings(True, seeds)
        process.start()
    servers = [p.Server(record, side.address, "alpha", f"i-{side.fields.get('data_centre', ZONE)}")
               for side in sides]
    operator = d.Operator(record, lambda: core)
    if operator.order("/Config.Replace", json.dumps(d.configuration(3)).encode()) != 200:
        raise d.NotRun("the first configuration was not acknowledged")
    wait_for("the balancers did not become ready", lambda: all(map(p.ready, fronts)), 15.0)
    callers = p.Callers(record, f"{deployment.net}.100")
    link = l.Link(record, (f"{deployment.net}.90", d.CONTROL_PORT),
                  (core[0].address, d.CONTROL_PORT))

    def order(path, replicas):
        """As d.Operator.order; the replica core-1 is reached through the link."""
        for name, address in replicas:
            status, text = d.call(address, "POST", path, b"")
            record.note(f"POST {path} at {name}: {status} {text[:60]!r}")
            if status == 200:
                return time.monotonic()
        raise d.NotRun(f"{path} was not acknowledged")

    first = ("core-1", f"{deployment.net}.90:{d.CONTROL_PORT}")
    others = [(replica.name, d.control_address(replica)) for replica in core[1:]]
    time.sleep(3.0)
    order(f"/Evacuate.Start/{ZONE}", others)
    time.sleep(EVACUATE_S)
    if trouble:
        link.hold_up(HOLD_UP_S)
    order(f"/Evacuate.Finish/{ZONE}", [first] + others)
    time.sleep(1.0)
    acknowledged = order(f"/Evacuate.Start/{ZONE}", others)
    time.sleep(acknowledged + EVACUATE_S + 0.5 - time.monotonic())

    begin = time.monotonic()
    threads = []
    for index in range(60):
        flow = callers.flow(45000 + index, ROUTE)
        thread = threading.Thread(target=lambda flow=flow, index=index: flow.start(
            fronts[index % 2]) and flow.request(f"q-{index}", fronts[index % 2], 1.5))
        thread.start()
        threads.append(thread)
        time.sleep(0.05)
    for thread in threads:
        thread.join()
    taken = [[t for t in server.openings if t >= begin] for server in servers]
    record.note(f"flows in {ZONE}: {len(taken[0])}, elsewhere: {len(taken[1])}")
    if taken[0]:
        record.note(f"the first {taken[0][0] - acknowledged:.3f} s after the acknowledgement of the "
                    f"evacuation, which was not taken back")
    callers.close()
    link.close()
    for server in servers:
        server.stop()
    if not any(taken):
        raise d.NotRun("no flow was opened")
    return d.BROKEN if taken[0] else d.HELD


if __name__ == "__main__":
    d.main(case, HERE)
