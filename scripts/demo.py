"""Runs a complete deployment on loopback through planned changes and failures.

Prints for each check what was tried and what was counted, and exits 0 only if all checks held.
"""

import argparse
import json
import secrets
import shutil
import signal
import sys
import time
import uuid

from cluster import NET, Cluster, wait_for

DATA_CENTRES = ["klang-a", "klang-b", "klang-c"]
PLANNER = {"name": "planner", "port": 7000, "upstreams": 7, "slots": 4, "service_ms": 20}
RENDER = {"name": "render", "port": 7001, "upstreams": 3, "slots": 4, "service_ms": 20}

# Longest accepted times, in seconds: until all nodes have a published configuration, and until the
# last datagram reaches a data centre that is taken out.
IN_FORCE_S = 2.0
LAST_PACKET_S = 3.0

# Wait after a change before its effects are counted, in seconds.
SETTLE_S = 4.0

# Labels of the checks in the output. Each names the property that the check tests:
#   I1   A planned change or the loss of the control leader breaks no flow. When a data centre
#        returns, no flow is refused either.
#   I2   A flow gets answers only from the service that its caller addressed.
#   I3   The load of an upstream, from its cold start on, never exceeds what it can carry.
#   I4   Agents of a data centre that was taken out get no datagrams after LAST_PACKET_S.
#   I5   Each answer is complete and from a run of its own request.
#   I6   A request with outcome not_run has not been run.
#   I7   A request that is not idempotent runs at most once.
#   I9   A process that is restarted as planned stops with exit code 0.
#   I10  All nodes have a published configuration within IN_FORCE_S; of two publications under one
#        version the second gets a conflict; a publication that is sent again gets the first answer.
#   I11  A control replica that is stopped as planned leaves its vote to a learner before it ends.
#   path The deployment starts, and callers reach their upstreams.
#   run  The demo itself ends without an error or a timeout.


class Report:
    """Collects the checks of a run."""

    def __init__(self):
        self.failed = 0
        self.rows = []

    def check(self, label, tried, counted, held):
        self.rows.append((label, tried, counted, held))
        self.failed += 0 if held else 1
        print(f"{'ok  ' if held else 'FAIL'} {label}: {tried}: {counted}", flush=True)


def broken_flows(cluster):
    """Counts of all callers so far: broken flows, given-up flows, broken flows by symptom."""
    summaries = [cluster.fresh_summary(name) for name in cluster.callers]
    flows = [summary["flows"] for summary in summaries]
    breaks = {}
    for flow in flows:
        for symptom, count in flow["breaks"].items():
            breaks[symptom] = breaks.get(symptom, 0) + count
    return sum(flow["broken"] for flow in flows), sum(flow["given_up"] for flow in flows), breaks


def established(cluster):
    return sum(cluster.fresh_summary(name)["flows"]["established"] for name in cluster.callers)


def check_no_broken_flows(cluster, report, what, action):
    """Runs the action and checks that no flow broke."""
    before, _, _ = broken_flows(cluster)
    action()
    time.sleep(SETTLE_S)
    after, _, breaks = broken_flows(cluster)
    report.check("I1", what, f"broken flows {after - before}"
                 + (f" {breaks}" if after != before else ""), after == before)


def publish(cluster, *paths, **options):
    """Publishes service files; returns the new revision and the time before the command."""
    start = time.monotonic()
    result = cluster.ctl("publish", *paths, **options)
    fields = dict(field.split("=", 1) for field in result.stdout.split() if "=" in field)
    return int(fields["revision"]), start


def check_in_force(cluster, report, revision, start, what):
    wait_for(lambda: cluster.in_force(revision), "configuration in force")
    took = time.monotonic() - start
    report.check("I10", what, f"in force at {len(cluster.member_metrics_endpoints())} nodes after "
                 f"{took:.2f} s (target {IN_FORCE_S} s)", took <= IN_FORCE_S)


def restart(cluster, name):
    """Restarts a process as planned and returns the exit code of the stopped one."""
    process = cluster.processes[name]
    code = process.terminate()
    process.start()
    return code


def restart_and_check(cluster, report, name):
    code = restart(cluster, name)
    report.check("I9", f"planned restart of {name}", f"exit code {code}", code == 0)
    if name in cluster.agents:
        endpoint = cluster.agents[name]["metrics"]
        wait_for(lambda: cluster.metrics(endpoint).get("dandelionslip_lease_valid") == 1,
                 f"{name} has a lease")


def leader(cluster):
    """Name of the control replica that is the Raft leader, or None."""
    for i in range(len(cluster.control_endpoints)):
        if cluster.metrics(f"{NET}.1.{i + 1}:9100").get("dandelionslip_raft_leader") == 1:
            return f"control-{i + 1}"
    return None


def control_status(cluster, names):
    """The states of running replicas of a maintained control group, as they report them."""
    endpoints = ",".join(f"{NET}.5.{name.rsplit('-', 1)[1]}:7400" for name in names)
    result = cluster.ctl("status", "--json", check=False, control=endpoints)
    return list(json.loads(result.stdout).values()) if result.stdout else []


def voters_of_leader(cluster, names):
    """Names of the voters that the leader knows, and the name of the leader or None."""
    for state in control_status(cluster, names):
        if state.get("role") == "leader" and state.get("confirmed"):
            voters = [info["address"] for info in state["members"]["replicas"].values()
                      if info["voter"]]
            return sorted("maintained-" + address.split(":")[0].rsplit(".", 1)[1]
                          for address in voters), state["node"]
    return [], None


def check_control_replacement(cluster, report):
    """Stops two control replicas right after each other, the leader first, while successors wait."""
    names = cluster.start_maintained_control(5, 3)
    wait_for(lambda: len(voters_of_leader(cluster, names)[0]) == 3, "a maintained control group")
    wait_for(lambda: all(state.get("commit_index", 0) > 0 and len(state["members"]["replicas"]) == 5
                         for state in control_status(cluster, names)), "two learners")
    time.sleep(SETTLE_S)
    voters, first = voters_of_leader(cluster, names)
    second = next(name for name in voters if name != first)
    for name in (first, second):
        cluster.processes[name].send_signal(signal.SIGTERM)
    codes = [cluster.processes[name].child.wait(timeout=20) for name in (first, second)]
    left = [name for name in names if name not in (first, second)]
    voters, _ = voters_of_leader(cluster, left)
    report.check("I11", f"planned replacement of {first}, which leads, and {second}",
                 f"voters then: {', '.join(voters) or 'none, no leader'}; exit codes {codes}",
                 voters == sorted(left) and codes == [0, 0])


def forwarded_datagrams(cluster, data_centre):
    """Datagrams that the agents of a data centre have received from balancers."""
    return sum(cluster.metrics(agent["metrics"]).get("dandelionslip_agent_forwards_total", 0)
               for agent in cluster.agents.values() if agent["data_centre"] == data_centre)


def check_data_centre_out(cluster, report, name):
    start = time.monotonic()
    cluster.ctl("data-centre", "out", name)
    last_change = start
    seen = forwarded_datagrams(cluster, name)
    while time.monotonic() - start < LAST_PACKET_S + 3:
        now = forwarded_datagrams(cluster, name)
        if now != seen:
            seen, last_change = now, time.monotonic()
        time.sleep(0.1)
    took = last_change - start
    report.check("I4", f"data centre {name} out", f"last datagram to its agents {took:.1f} s after "
                 f"the command (target {LAST_PACKET_S} s)", took <= LAST_PACKET_S)


def refusal_count(cluster):
    """Number of datagrams refused so far, over all callers."""
    return sum(sum(cluster.fresh_summary(name)["flows"]["refusals"].values())
               for name in cluster.callers)


def check_data_centre_in(cluster, report, name):
    before_broken, _, _ = broken_flows(cluster)
    before = refusal_count(cluster)
    cluster.ctl("data-centre", "in", name)
    time.sleep(SETTLE_S + 2)
    after_broken, _, _ = broken_flows(cluster)
    refused = refusal_count(cluster) - before
    report.check("I1", f"data centre {name} returns",
                 f"broken flows {after_broken - before_broken}, refusals {refused}",
                 after_broken == before_broken and refused == 0)


def check_requests(cluster, report):
    """Compares the outcomes that the callers saw with the runs that the upstreams recorded."""
    runs = {}
    for name in cluster.agents:
        for run in cluster.upstream_json(name, "/history") or []:
            runs.setdefault(run["request_id"], []).append(f"{run['upstream']}/{run['run']}")
    history = []
    for name in cluster.callers:
        history += cluster.summary(name)["history"]
    outcomes = {}
    for seen in history:
        outcomes[seen["outcome"]] = outcomes.get(seen["outcome"], 0) + 1
    run_more_than_once = [i for i, where in runs.items() if len(where) > 1]
    wrongly_not_run = [seen["request_id"] for seen in history
                       if seen["outcome"] == "not_run" and seen["request_id"] in runs]
    crossed = [seen["request_id"] for seen in history if seen["outcome"] == "answered"
               and (not seen["intact"] or seen["run"] not in runs.get(seen["request_id"], []))]
    report.check("I7", f"{len(history)} non-idempotent requests {outcomes}",
                 f"{len(runs)} ids ran, {len(run_more_than_once)} more than once",
                 not run_more_than_once and len(runs) > 0)
    report.check("I6", f"{outcomes.get('not_run', 0)} refusals that say not run",
                 f"{len(wrongly_not_run)} of them ran", not wrongly_not_run)
    report.check("I5", f"{outcomes.get('answered', 0)} answers",
                 f"{len(crossed)} crossed, cut short or of no run", not crossed)


def check_upstreams(cluster, report):
    statistics = [cluster.upstream_json(name, "/stats") for name in cluster.agents]
    statistics = [entry for entry in statistics if entry]
    slots = max(entry["peak_slot_ratio"] for entry in statistics)
    connections = max(entry["peak_connection_ratio"] for entry in statistics)
    report.check("I3", f"{len(statistics)} upstreams from cold start on",
                 f"highest load over the bearable one: slots {slots:.2f}, connections "
                 f"{connections:.2f}", slots <= 1 and connections <= 1)


def check_answers_of_other_services(cluster, report):
    foreign = sum(cluster.summary(name)["flows"]["foreign"] for name in cluster.callers)
    answers = sum(cluster.summary(name)["flows"]["answers"] for name in cluster.callers)
    report.check("I2", f"{answers} answers to flows of two services",
                 f"{foreign} from another service", foreign == 0 and answers > 0)


def check_publication_conflict(cluster, report, version):
    """Two operators publish the same version; the first succeeds, the second gets a conflict."""
    path = cluster.write_service(RENDER, version, opens_per_second=400)
    results = [cluster.ctl("publish", path, "--operator=" + name, check=False)
               for name in ("first", "second")]
    codes = sorted(result.returncode for result in results)
    report.check("I10", "two publications under one version", f"exit codes {codes}",
                 codes == [0, 4])


def publication_id():
    """A new UUID of version 7 with the current time."""
    bits = (time.time_ns() // 1_000_000) << 80 | 7 << 76 | secrets.randbits(12) << 64
    return str(uuid.UUID(int=bits | 2 << 62 | secrets.randbits(62)))


def check_publication_resend(cluster, report, version):
    """A publication that is sent again with the same id gets the answer of the first one."""
    path = cluster.write_service(RENDER, version, opens_per_second=450)
    publication = publication_id()
    first = cluster.ctl("publish", path, "--id=" + publication)
    second = cluster.ctl("publish", path, "--id=" + publication)
    report.check("I10", "resend of an applied publication",
                 second.stdout.strip(), first.stdout == second.stdout)


def start_cluster(cluster, report):
    """Starts all processes except callers and waits until each node has a lease and its
    configuration."""
    cluster.start_control()
    wait_for(lambda: leader(cluster) is not None, "a control leader")
    paths = [cluster.write_service(service, 1) for service in cluster.services]
    cluster.ctl("validate", *paths)
    revision, _ = publish(cluster, *paths)
    cluster.start_balancers()
    cluster.start_upstreams_and_agents()
    wait_for(lambda: all(cluster.metrics(endpoint).get("dandelionslip_lease_valid") == 1
                         for endpoint in cluster.member_metrics_endpoints()), "leases at all nodes")
    wait_for(lambda: cluster.in_force(revision), "configuration in force")
    report.check("path", "service files published, nodes started",
                 f"revision {revision} in force at {len(cluster.member_metrics_endpoints())} nodes",
                 True)


def start_callers(cluster, report, scale):
    cluster.start_caller("planner-callers", PLANNER,
                         {"flows": 140 * scale, "feed-ms": 200, "open-over-ms": 3000,
                          "requests-per-second": 20})
    cluster.start_caller("render-callers", RENDER,
                         {"flows": 60 * scale, "open-over-ms": 3000, "requests-per-second": 10,
                          "seed": 7})
    wanted = 200 * scale
    wait_for(lambda: established(cluster) >= wanted, f"{wanted} flows established")
    report.check("path", "datagrams through three balancers", f"{wanted} flows established", True)


def run(cluster, report, scale):
    start_cluster(cluster, report)
    start_callers(cluster, report, scale)
    check_no_broken_flows(cluster, report, "no change", lambda: None)

    def publication():
        path = cluster.write_service(PLANNER, 2, opens_per_second=600)
        revision, start = publish(cluster, path)
        check_in_force(cluster, report, revision, start, "publication")

    check_no_broken_flows(cluster, report, "publication", publication)
    check_publication_conflict(cluster, report, 2)
    check_publication_resend(cluster, report, 3)
    check_no_broken_flows(cluster, report, "balancer restart",
                          lambda: restart_and_check(cluster, report, "balancer-1"))
    check_no_broken_flows(cluster, report, "agent restart",
                          lambda: restart_and_check(cluster, report, "planner-2"))
    check_no_broken_flows(cluster, report, "upstream drain",
                          lambda: cluster.ctl("drain", "planner-3"))
    check_no_broken_flows(cluster, report, "upstream undrain",
                          lambda: cluster.ctl("undrain", "planner-3"))
    name = leader(cluster)
    check_no_broken_flows(cluster, report, f"restart of the leading {name}",
                          lambda: restart_and_check(cluster, report, name))
    check_data_centre_out(cluster, report, "klang-b")
    check_data_centre_in(cluster, report, "klang-b")
    killed = leader(cluster)
    cluster.processes[killed].kill()
    check_no_broken_flows(cluster, report, f"control leader {killed} killed, publication",
                          lambda: publish(cluster, cluster.write_service(PLANNER, 3,
                                                                         opens_per_second=700)))
    cluster.processes[killed].start()
    cluster.processes["planner-5"].kill()
    cluster.processes["planner-5"].start()
    wait_for(lambda: cluster.metrics(cluster.agents["planner-5"]["metrics"])
             .get("dandelionslip_lease_valid") == 1, "planner-5 has a lease")
    time.sleep(SETTLE_S)
    for caller in list(cluster.callers):
        cluster.processes[caller].terminate(timeout=30)
    check_requests(cluster, report)
    check_upstreams(cluster, report)
    check_answers_of_other_services(cluster, report)
    check_control_replacement(cluster, report)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--scale", type=int, default=1, help="multiplies the number of flows")
    parser.add_argument("--keep", action="store_true", help="keep logs and settings")
    arguments = parser.parse_args()
    cluster = Cluster(DATA_CENTRES, [PLANNER, RENDER])
    report = Report()
    try:
        run(cluster, report, arguments.scale)
    except (TimeoutError, RuntimeError) as error:
        report.check("run", "the demo", str(error), False)
    finally:
        cluster.kill_all()
    held = len(report.rows) - report.failed
    if report.failed or arguments.keep:
        print("logs are in " + cluster.folder)
    else:
        shutil.rmtree(cluster.folder)
    print(f"demo: {held} checks held, {report.failed} failed")
    return 1 if report.failed else 0


if __name__ == "__main__":
    sys.exit(main())
