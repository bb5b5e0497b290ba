"""A small deployment of dandelionslip-platform on loopback, and a stand-in of its operator.

Processes are started with the commands of deploy/system.toml. Every VM has its own loopback address.
"""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
PROGRAM = os.path.join("target", "dandelionslip-platform")

# Bounds of kit/more/system/sites/kongsi-rb.toml, in seconds.
CONTACT_S = 4.0
CATCH_UP_S = 4.0
CONFIG_APPLY_S = 3.0
RECOVERY_S = 12.0
SEED_LAG_S = 3.0
HEARTBEAT_S = 0.77
CALL_TIMEOUT_S = 1.0

PEER_PORT = 17100
CONTROL_PORT = 18166
READY_PORT = 18167
PACKET_PORT = 18172
OUTBOUND_PORT = 18173
APP_PORT = 18080
METRICS_PORT = 19464

ROUTE_HOST = "127.18.0.1" # Occurs in packet headers only.
ROUTE_PORT = 8443

HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be run."""


def free_network():
    """Returns the first three octets of a loopback network whose ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (PEER_PORT, CONTROL_PORT, READY_PORT, METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((f"{net}.1", port))
            return net
        except OSError:
            continue
    raise NotRun("found no free loopback network")


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def note(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


class Process:
    """One role on one VM."""

    def __init__(self, deployment, role, name, address, fields):
        self.deployment = deployment
        self.role = role
        self.name = name
        self.address = address
        self.fields = fields
        self.file = os.path.join(deployment.folder, f"{name}.json")
        self.log = os.path.join(deployment.folder, f"{name}.log")
        self.child = None

    def write_settings(self, first_start, seeds):
        """Renders the settings file as platform/node.json does, and replaces it in one step."""
        settings = {
            "node": self.name, "data_centre": "zone-a", "address": self.address,
            "first_start": first_start, "metrics_endpoint": f"{self.address}:{METRICS_PORT}",
            "seeds": seeds, "peer_port": PEER_PORT, "packet_endpoint": "", "ready_endpoint": "",
            "control_endpoint": "", "outbound_endpoint": "", "upstream_endpoint": "",
            "service": "", "data_folder": "", "processor_share": 1.0, "link_mbps": 1000.0,
            "heartbeat_ms": int(HEARTBEAT_S * 1000), "disks_lost": 2, "max_flow_s": 60,
            "cold_excess_factor": 1.5, "cold_slack": 5,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "places"],
        }
        settings.update(self.fields)
        with open(self.file + ".new", "w", encoding="utf-8") as file:
            json.dump(settings, file)
        os.rename(self.file + ".new", self.file)

    def start(self):
        environment = {"PATH": os.environ.get("PATH", ""), "DANDELIONSLIP_NODE_FILE": self.file}
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen([PROGRAM, self.role], cwd=ROOT, env=environment,
                                          stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.deployment.record.note(f"{self.name} started")

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)
            self.deployment.record.note(f"{self.name} gets {signal.Signals(number).name}")

    def terminate(self, grace_s=6.0):
        """SIGTERM, then SIGKILL after the grace time."""
        self.signal(signal.SIGTERM)
        try:
            self.child.wait(timeout=grace_s)
        except subprocess.TimeoutExpired:
            self.kill()
        self.deployment.record.note(f"{self.name} has ended")

    def kill(self):
        if self.running():
            self.child.kill()
            self.child.wait()
            self.deployment.record.note(f"{self.name} was killed")


class Deployment:
    """Processes on loopback, in a temporary folder that is removed at the end."""

    def __init__(self, record):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise NotRun(f"{PROGRAM} is not built")
        self.record = record
        self.net = free_network()
        self.folder = tempfile.mkdtemp(prefix="dandelionslip-review-")
        self.processes = []

    def control(self, number):
        address = f"{self.net}.{number}"
        folder = os.path.join(self.folder, f"data-{number}")
        os.makedirs(folder)
        return self._add("control", f"core-{number}", address, {
            "control_endpoint": f"{address}:{CONTROL_PORT}", "data_folder": folder})

    def balancer(self, number):
        address = f"{self.net}.{number}"
        return self._add("balancer", f"front-{number}", address, {
            "packet_endpoint": f"{address}:{PACKET_PORT}",
            "ready_endpoint": f"{address}:{READY_PORT}"})

    def agent(self, number, service):
        address = f"{self.net}.{number}"
        return self._add("agent", f"side-{number}", address, {
            "packet_endpoint": f"{address}:{PACKET_PORT}",
            "ready_endpoint": f"{address}:{READY_PORT}",
            "control_endpoint": f"{address}:{CONTROL_PORT}",
            "outbound_endpoint": f"{address}:{OUTBOUND_PORT}",
            "upstream_endpoint": f"{address}:{APP_PORT}", "service": service})

    def _add(self, role, name, address, fields):
        process = Process(self, role, name, address, fields)
        self.processes.append(process)
        return process

    def close(self):
        for process in self.processes:
            if process.running():
                process.child.kill()
                process.child.wait()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def control_address(process):
    return f"{process.address}:{CONTROL_PORT}"


def call(address, method, path, body=None, timeout=CALL_TIMEOUT_S):
    """One HTTP call; returns status and body, or None and the reason."""
    request = urllib.request.Request(f"http://{address}{path}", data=body, method=method)
    if body is not None:
        request.add_header("Content-Type", "application/json")
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except (OSError, ValueError) as error:
        return None, str(error).encode()


class Operator:
    """Sends orders and reads to the replicas in turn, as kit/more/system/PROTOCOL.md says."""

    def __init__(self, record, replicas):
        self.record = record
        self.replicas = replicas # A function that returns the replicas in service.

    def order(self, path, body=None, limit_s=30.0):
        """Sends an order until it has a clear answer; returns its status, None without one."""
        end = time.monotonic() + limit_s
        pause = 0.05
        while time.monotonic() < end:
            for process in self.replicas():
                status, text = call(control_address(process), "POST", path, body or b"")
                self.record.note(f"POST {path} at {process.name}: {status} {text[:80]!r}")
                if status in (200, 400, 409, 412, 413, 422):
                    return status
                time.sleep(pause)
                pause = min(pause * 2, 1.0)
        return None

    def read(self, limit_s, accept):
        """Reads the configuration until accept(body) holds; returns the last body or None."""
        end = time.monotonic() + limit_s
        last = None
        while time.monotonic() < end:
            for process in self.replicas():
                status, text = call(control_address(process), "GET", "/Config.Read")
                self.record.note(f"GET /Config.Read at {process.name}: {status} {text[:60]!r}")
                if status == 200:
                    last = text
                    if accept(text):
                        return text
            time.sleep(0.5)
        return last


def configuration(version, routes=None):
    """A valid configuration document with two services."""
    services = [{"name": name, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1",
                 "tls": False, "warmup_s": 2.0, "ramp_per_s": 0.0} for name in ("alpha", "beta")]
    if routes is None:
        routes = [{"name": "r-1", "host": ROUTE_HOST, "path_prefix": f"/{ROUTE_PORT}/", "type": "unsafe",
                   "timeout_ms": 1500, "slo_ms": 150, "priority": 1, "service": "alpha",
                   "attempts": 2}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def main(case, folder):
    """Runs case(deployment, record, trouble) and exits with its result."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN)) # The time limit of run.sh.
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note("with the disruption" if trouble else "without the disruption")
    deployment = None
    try:
        deployment = Deployment(record)
        result = case(deployment, record, trouble)
    except Exception as reason: # pylint: disable=broad-except; an error of a stand-in is no result
        record.note(f"not run: {type(reason).__name__}: {reason}")
        result = NOT_RUN
    finally:
        if deployment:
            deployment.close()
    record.note({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[result])
    sys.exit(result)
