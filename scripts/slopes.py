"""Measures how the cost of each role grows with the number of upstreams.

Runs an idle deployment (no callers) with several numbers of upstreams, fits a straight line to each
measure and writes build/slopes.json. The series "planner" varies the upstreams of the measured
agents' own service; the series "render" keeps 3 planner upstreams and varies those of another
service, which are not among the measured agents.
"""

import argparse
import json
import math
import os
import re
import shutil
import statistics
import subprocess
import sys
import time

from cluster import BUILD, Cluster, wait_for
from demo import DATA_CENTRES, PLANNER, RENDER, Report, start_cluster

SERIES = {"planner": [3, 6, 12], "render": [0, 3, 9]}

# Seconds to wait before an idle measurement, until joins, ramps of load limits and weight steps
# have ended.
IDLE_SETTLE_S = 6

# Number of flows of the measurement under load; each sends 20 messages per second.
LOAD_FLOWS = 300


def role_endpoints(cluster):
    """Metrics endpoints of each role."""
    return {"balancer": [f"127.0.2.{i + 1}:9100" for i in range(len(cluster.data_centres))],
            "agent": [agent["metrics"] for agent in cluster.agents.values()
                      if agent["service"] == PLANNER["name"]],
            "control": [f"127.0.1.{i + 1}:9100" for i in range(len(cluster.control_endpoints))]}


def control_socket_bytes(cluster):
    """Bytes read and written by the sockets of each control replica, or None without ss.

    The replicas export no byte counter, so the kernel's counters of their connections are added up.
    They include neither retransmissions nor TCP/IP headers.
    """
    if shutil.which("ss") is None:
        return None
    names = {cluster.processes[name].child.pid: name for name in cluster.processes
             if name.startswith("control-")}
    text = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True, check=True).stdout
    totals = dict.fromkeys(names.values(), 0)
    for line in text.splitlines():
        pid_match = re.search(r"pid=(\d+)", line)
        if pid_match and int(pid_match[1]) in names:
            totals[names[int(pid_match[1])]] += sum(
                int(count) for count in re.findall(r"bytes_(?:acked|received):(\d+)", line))
    return totals


def state_answer_bytes(cluster):
    """Median body size of a replica's answer with the complete configuration and view.

    None without curl, or if no replica answers with status 200.
    """
    if shutil.which("curl") is None:
        return None
    sizes = []
    for endpoint in cluster.control_endpoints:
        result = subprocess.run(
            ["curl", "--silent", "--http2-prior-knowledge", "--request", "POST", "--max-time", "3",
             "--output", os.devnull, "--write-out", "%{http_code} %{size_download}",
             f"http://{endpoint}/v1/state"], capture_output=True, text=True, check=False)
        code, size = result.stdout.split()
        if code == "200":
            sizes.append(int(size))
    return statistics.median(sizes) if sizes else None


def sample(cluster):
    return {endpoint: cluster.metrics(endpoint)
            for endpoints in role_endpoints(cluster).values() for endpoint in endpoints}


def measure_idle(cluster, seconds):
    """Mean cost of each process over an interval, by role and measure, without load.

    Also returns True if all view revisions stayed the same, else False. Raises RuntimeError if the
    metrics of a process cannot be read.
    """
    start, before, sockets = time.monotonic(), sample(cluster), control_socket_bytes(cluster)
    time.sleep(seconds)
    after, took = sample(cluster), time.monotonic() - start
    sockets_after = control_socket_bytes(cluster)
    if not all(before.values()) or not all(after.values()):
        raise RuntimeError("a metrics endpoint did not answer")

    def per_second(endpoint, series):
        return (after[endpoint][series] - before[endpoint][series]) / took

    measures = {}
    for role, endpoints in role_endpoints(cluster).items():
        measures[role + ".cpu_share"] = [per_second(e, "process_cpu_seconds_total")
                                         for e in endpoints]
        measures[role + ".resident_bytes"] = [after[e]["process_resident_memory_bytes"]
                                              for e in endpoints]
        if role != "control":
            measures[role + ".bytes_per_second"] = [per_second(e, "dandelionslip_control_bytes")
                                                    for e in endpoints]
    if sockets and sockets_after:
        measures["control.bytes_per_second"] = [(sockets_after[name] - sockets[name]) / took
                                                for name in sockets]
    changed_views = [endpoint for endpoint in before
                     if before[endpoint].get("dandelionslip_view_revision")
                     != after[endpoint].get("dandelionslip_view_revision")]
    return measures, not changed_views


def fit(points):
    """Least-squares line through (x, y): slope, intercept, standard errors."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = math.sqrt(sum((y - slope * x - intercept) ** 2 for x, y in points) / (count - 2))
    return {"slope": slope, "slope_error": residual / math.sqrt(spread), "intercept": intercept,
            "residual_error": residual, "points": points}


def total(values, endpoints, series):
    return sum(values[endpoint][series] for endpoint in endpoints)


def datagram_cost(cluster, idle, seconds):
    """CPU time per datagram of a balancer and an agent, less the CPU time of the idle processes."""
    cluster.start_caller("callers", cluster.services[0],
                         {"flows": LOAD_FLOWS, "interval-ms": 50, "open-over-ms": 3000})
    wait_for(lambda: (cluster.summary("callers") or {"flows": {"established": 0}})
             ["flows"]["established"] >= LOAD_FLOWS, f"{LOAD_FLOWS} flows established")
    time.sleep(2)
    start, before = time.monotonic(), sample(cluster)
    time.sleep(seconds)
    after, took = sample(cluster), time.monotonic() - start
    result = {}
    for role, series in (("balancer", "dandelionslip_balancer_forwarded_total"),
                         ("agent", "dandelionslip_agent_forwards_total")):
        endpoints = role_endpoints(cluster)[role]
        datagrams = total(after, endpoints, series) - total(before, endpoints, series)
        seconds_used = (total(after, endpoints, "process_cpu_seconds_total")
                        - total(before, endpoints, "process_cpu_seconds_total"))
        seconds_used -= idle[role + ".cpu_share"] * len(endpoints) * took
        result[role] = {"datagrams_per_second": datagrams / took,
                        "cpu_us_per_datagram": seconds_used / datagrams * 1e6}
    return result


def measure(services, seconds, under_load):
    """Means and maxima of the measures with one number of upstreams."""
    cluster = Cluster(DATA_CENTRES, services)
    try:
        start_cluster(cluster, Report())
        time.sleep(IDLE_SETTLE_S)
        values, view_unchanged = measure_idle(cluster, seconds)
        means = {name: statistics.mean(each) for name, each in values.items()}
        if (size := state_answer_bytes(cluster)) is not None:
            means["state_answer.bytes"] = size
        cost = datagram_cost(cluster, means, seconds) if under_load else None
        return means, {name: max(each) for name, each in values.items()}, view_unchanged, cost
    finally:
        cluster.kill_all()
        shutil.rmtree(cluster.folder)


def measure_series(name, seconds):
    sizes = SERIES[name]
    points, maxima, view_unchanged, cost = {}, {}, {}, None
    for upstreams in sizes:
        services = ([dict(PLANNER, upstreams=upstreams)] if name == "planner" else
                    [dict(PLANNER, upstreams=3), dict(RENDER, upstreams=upstreams)])
        under_load = name == "planner" and upstreams == sizes[-1]
        means, maxima[upstreams], view_unchanged[upstreams], cost = measure(
            services, seconds, under_load)
        for measured, value in means.items():
            points.setdefault(measured, []).append((upstreams, value))
    # Fit only the measures that every number of upstreams has.
    fits = {measured: fit(each) for measured, each in points.items() if len(each) == len(sizes)}
    return {"x": name + " upstreams", "sizes": sizes, "seconds": seconds,
            "view_unchanged": view_unchanged, "datagram_cost": cost, "maxima": maxima, "fits": fits}


def print_series(name, series):
    print(f"{name}: view unchanged during the measurement: {series['view_unchanged']}")
    if series["datagram_cost"]:
        print(f"cost of a datagram with {series['sizes'][-1]} upstreams: "
              f"{series['datagram_cost']}")
    for measured, line in sorted(series["fits"].items()):
        values = " ".join(f"{y:.6g}" for _, y in line["points"])
        print(f"{measured:26} {values:36} slope {line['slope']:.4g} +- {line['slope_error']:.2g} "
              f"intercept {line['intercept']:.6g}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10, help="length of each measurement")
    parser.add_argument("--series", choices=sorted(SERIES), action="append",
                        help="measure only this series; may be repeated")
    parser.add_argument("--out", default=os.path.join(BUILD, "slopes.json"))
    arguments = parser.parse_args()
    result = {}
    for name in arguments.series or SERIES:
        result[name] = measure_series(name, arguments.seconds)
        print_series(name, result[name])
    with open(arguments.out, "w", encoding="utf-8") as file:
        json.dump(result, file, indent=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
