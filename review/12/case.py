"""Loses two disks right after a planned replacement of a control VM.

Stand-ins: the platform (starts, stops and restarts processes, renders settings files) and the
operator (publishes and reads configurations). Only processes that this script started are ended.
"""

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = os.path.dirname(os.path.abspath(__file__))
PROGRAM = "target/dandelionslip-platform"
CONTROL_PORT, PEER_PORT, METRICS_PORT = 8166, 7720, 9464
LONGEST_S = 110  # Within the 120 s that a script may take.

CATCH_UP_S = 4.0  # bounds.catch_up_s of the site.
RECOVERY_S = 12.0  # bounds.recovery_s of the site.
READ_FOR_S = 40.0  # More than three times the bound.

started = time.monotonic()
record = open(os.path.join(FOLDER, "record.txt"), "w", encoding="utf-8")


def note(text):
    line = f"{time.monotonic() - started:8.3f} s  {text}"
    print(line, file=record, flush=True)
    print(line, flush=True)


class CannotRun(Exception):
    pass


def give_up(number, _frame):
    raise CannotRun(f"ended by signal {number}")


def free_network():
    """Finds a loopback network whose addresses can be used on all three ports."""
    for third in range(os.getpid() % 200 + 20, 255):
        sockets = []
        try:
            for last in range(1, 7):
                for port in (CONTROL_PORT, PEER_PORT, METRICS_PORT):
                    s = socket.socket()
                    sockets.append(s)
                    s.bind((f"127.83.{third}.{last}", port))
            return f"127.83.{third}"
        except OSError:
            continue
        finally:
            for s in sockets:
                s.close()
    raise CannotRun("no free loopback network")


class Core:
    """A control VM: one process and one data folder."""

    def __init__(self, network, number, work):
        self.name = f"core-{number}"
        self.address = f"{network}.{number}"
        self.work = work
        self.disk = 0
        self.process = None

    def data_folder(self):
        return os.path.join(self.work, f"{self.name}-disk{self.disk}")

    def start(self, seeds, bootstrap):
        os.makedirs(self.data_folder(), exist_ok=True)
        settings = {
            "node": self.name,
            "data_centre": "zone-" + "abc"[int(self.name[-1]) % 3],
            "address": self.address,
            "first_start": bootstrap,
            "metrics_endpoint": f"{self.address}:{METRICS_PORT}",
            "seeds": [f"{seed.address}:{CONTROL_PORT}" for seed in seeds],
            "peer_port": PEER_PORT,
            "packet_endpoint": "",
            "ready_endpoint": "",
            "control_endpoint": f"{self.address}:{CONTROL_PORT}",
            "outbound_endpoint": "",
            "upstream_endpoint": "",
            "service": "",
            "data_folder": self.data_folder(),
            "processor_share": 0.6,
            "link_mbps": 1000.0,
            "heartbeat_ms": 770,
            "disks_lost": 2,
            "max_flow_s": 60,
            "cold_excess_factor": 1.5,
            "cold_slack": 5,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "places"],
        }
        path = os.path.join(self.work, self.name + ".conf")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.work, self.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "DANDELIONSLIP_NODE_FILE": path}
        self.process = subprocess.Popen(
            [PROGRAM, "control"], env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self, with_signal):
        if self.running():
            self.process.send_signal(with_signal)

    def call(self, method, path, body=None):
        """Returns status and body; 0 without an answer within a second."""
        connection = http.client.HTTPConnection(self.address, CONTROL_PORT, timeout=1.0)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()


def configuration(version):
    route = {
        "name": "r-1",
        "host": "198.18.0.1",
        "path_prefix": "/8443/",
        "type": "safe",
        "timeout_ms": 500 + version,
        "slo_ms": 100,
        "priority": 2,
        "service": "desk",
        "attempts": 2,
    }
    service = {
        "name": "desk",
        "health_path": "/healthz",
        "max_conns": 2000,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 2.0,
        "ramp_per_s": 0.0,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    return json.dumps(
        {"version": version, "routes": [route], "services": [service], "limits": limits}
    )


def publish(cores, version, for_s):
    """Sends the configuration until a control VM acknowledges it."""
    end = time.monotonic() + for_s
    while time.monotonic() < end:
        for core in cores:
            status, _ = core.call("POST", "/Config.Replace", configuration(version))
            if status == 200:
                note(f"operator: configuration {version} acknowledged by {core.name}")
                return
            time.sleep(0.05)
    raise CannotRun(f"configuration {version} was not acknowledged")


def read(core):
    """The version that the control VM reads back, or the status without one."""
    status, body = core.call("GET", "/Config.Read")
    return (json.loads(body)["version"], status) if status == 200 else (None, status)


def read_back(cores, version):
    """Whether a control VM reads back this version or a newer one."""
    restarted = time.monotonic()
    last_noted = 0.0
    while time.monotonic() - restarted < READ_FOR_S:
        answers = {core.name: read(core) for core in cores}
        elapsed = time.monotonic() - restarted
        if elapsed - last_noted >= 5:
            last_noted = elapsed
            texts = [f"{name} {found or status or 'silent'}" for name, (found, status) in answers.items()]
            note("operator: reads back " + ", ".join(texts))
        for name, (found, _) in answers.items():
            if found is not None and found >= version:
                note(f"operator: {name} reads back version {found} after {elapsed:.1f} s")
                return True
        time.sleep(0.2)
    return False


def play(network, work):
    cores = [Core(network, number, work) for number in range(1, 7)]
    first, old, successor = cores[:5], cores[4], cores[5]
    seeds = cores[:3]
    try:
        for core in first:
            core.start(seeds, True)
        note("platform: five control VMs start with empty disks")
        publish(first, 1, 30)

        successor.start(seeds, False)
        note("platform: the successor of core-5 starts with an empty disk")
        time.sleep(CATCH_UP_S + 2)

        if TROUBLE:
            old.end(signal.SIGTERM)
            old.process.wait(6)
            note("platform: core-5 got SIGTERM, ended with code "
                 f"{old.process.returncode} and does not come back")
        running = [core for core in cores if core.running()]
        time.sleep(0.3)
        publish(running, 2, 5)

        for core in running:
            core.end(signal.SIGKILL)
        for core in running:
            core.process.wait(6)
        for core in cores[:2]:
            core.disk += 1
        note(f"platform: {len(running)} control VMs lose power; core-1 and core-2 lose their disks")
        time.sleep(1.0)
        for core in running:
            core.start(seeds, False)
        note("platform: all of these are back")
        return read_back(running, 2)
    finally:
        for core in cores:
            core.end(signal.SIGKILL)
        for core in cores:
            if core.process is not None:
                core.process.wait(6)


def main():
    if not os.access(PROGRAM, os.X_OK):
        note(f"{PROGRAM} is missing: build it with the build line of deploy/system.toml")
        return 2
    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(LONGEST_S)
    work = tempfile.mkdtemp(prefix="case-12-")
    try:
        held = play(free_network(), work)
    except Exception as problem:  # Only a finding may exit with 1.
        note(f"the case could not run: {problem}")
        return 2
    finally:
        shutil.rmtree(work, ignore_errors=True)
    note("held: the acknowledged configuration is read back" if held else
         f"broken: configuration 2 was acknowledged, and no control VM reads it back within "
         f"{READ_FOR_S:.0f} s ({RECOVERY_S:.0f} s are allowed)")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
