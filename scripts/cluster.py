"""Starts, observes and stops the programs of a small deployment on loopback."""

import json
import os
import signal
import subprocess
import tempfile
import time
import urllib.request

BUILD = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "build")

# First two bytes of all loopback addresses. A different value lets a second deployment run at the
# same time.
NET = os.environ.get("DANDELIONSLIP_NET", "127.0")

# Default timeout of wait_for, in seconds.
WAIT_S = 30


def wait_for(condition, what, timeout=WAIT_S):
    """Polls until the condition is true and returns the seconds it took.

    Raises TimeoutError, which names `what`.
    """
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        if condition():
            return time.monotonic() - start
        time.sleep(0.05)
    raise TimeoutError(f"timed out after {timeout} s: {what}")


class Process:
    """A program and its log file."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.log_path = os.path.join(folder, name + ".log")
        self.child = None

    def start(self):
        log = open(self.log_path, "ab")
        self.child = subprocess.Popen(self.arguments, stdout=log, stderr=log)
        log.close()

    def terminate(self, timeout=20):
        """Stops the program as planned, with SIGTERM, and returns its exit code."""
        self.child.send_signal(signal.SIGTERM)
        return self.child.wait(timeout=timeout)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def send_signal(self, number):
        self.child.send_signal(number)

    def running(self):
        return self.child is not None and self.child.poll() is None


class Cluster:
    """Control replicas, balancers, and agents with stand-in upstreams."""

    def __init__(self, data_centres, services):
        self.folder = tempfile.mkdtemp(prefix="dandelionslip-")
        self.data_centres = data_centres
        self.services = services
        self.processes = {}
        self.agents = {}
        self.control_endpoints = [f"{NET}.1.{i + 1}:7400" for i in range(3)]
        self.callers = {}

    def program_path(self, name):
        return os.path.join(BUILD, name)

    def add_process(self, name, arguments):
        process = Process(name, arguments, self.folder)
        self.processes[name] = process
        return process

    def write_json(self, name, content):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            json.dump(content, file, indent=1)
        return path

    def common_settings(self, node, data_centre, metrics):
        return {"node": node, "data_centre": data_centre, "log_level": "info",
                "metrics_endpoint": metrics, "control_endpoints": self.control_endpoints}

    def start_control(self):
        for i, endpoint in enumerate(self.control_endpoints):
            settings = self.common_settings(f"control-{i + 1}", self.data_centres[i],
                                            f"{NET}.1.{i + 1}:9100")
            settings["endpoint"] = endpoint
            settings["peers"] = [{"name": f"control-{k + 1}", "endpoint": other}
                                 for k, other in enumerate(self.control_endpoints) if k != i]
            settings["data_folder"] = os.path.join(self.folder, f"control-{i + 1}.data")
            path = self.write_json(f"control-{i + 1}.json", settings)
            program = self.program_path("dandelionslip-control")
            process = self.add_process(f"control-{i + 1}", [program, "--config=" + path])
            # --bootstrap is passed only at the first start.
            first = Process(process.name, process.arguments + ["--bootstrap"], self.folder)
            first.start()
            process.child = first.child

    def start_maintained_control(self, count, voters):
        """Starts a control group of its own, whose leader keeps `voters` voters. The first replicas
        form the group and the others join it. Returns the names of the processes."""
        endpoints = [f"{NET}.5.{i + 1}:7400" for i in range(count)]
        names = []
        for i, endpoint in enumerate(endpoints):
            name = f"maintained-{i + 1}"
            settings = self.common_settings(name, self.data_centres[i % len(self.data_centres)], "")
            settings.update({"endpoint": endpoint, "founders": endpoints[:voters], "join": True,
                             "target_voters": voters,
                             "data_folder": os.path.join(self.folder, name + ".data")})
            path = self.write_json(name + ".json", settings)
            process = self.add_process(name, [self.program_path("dandelionslip-control"),
                                              "--config=" + path])
            first = Process(name, process.arguments + (["--bootstrap"] if i < voters else []),
                            self.folder)
            first.start()
            process.child = first.child
            names.append(name)
        return names

    def start_balancers(self):
        for i, data_centre in enumerate(self.data_centres):
            name = f"balancer-{i + 1}"
            address = f"{NET}.2.{i + 1}"
            settings = self.common_settings(name, data_centre, f"{address}:9100")
            settings.update({"datagram_endpoint": f"{address}:7500",
                             "request_endpoint": f"{address}:7501", "listen_address": address})
            path = self.write_json(name + ".json", settings)
            self.add_process(name, [self.program_path("dandelionslip-balancer"),
                                    "--config=" + path]).start()

    def start_upstreams_and_agents(self, warm_up_ms=3000):
        number = 0
        for service in self.services:
            for k in range(service["upstreams"]):
                number += 1
                name = f"{service['name']}-{k + 1}"
                data_centre = self.data_centres[k % len(self.data_centres)]
                self.start_upstream_and_agent(name, service, data_centre, number, warm_up_ms)

    def start_upstream_and_agent(self, name, service, data_centre, number, warm_up_ms):
        upstream = f"{NET}.4.{number}"
        agent = f"{NET}.3.{number}"
        self.add_process("upstream-" + name, [
            self.program_path("standin-upstream"), "--name=" + name, f"--udp={upstream}:7700",
            f"--http={upstream}:7701", f"--slots={service['slots']}",
            f"--service-ms={service['service_ms']}", f"--warm-up-ms={warm_up_ms}"]).start()
        settings = self.common_settings(name, data_centre, f"{agent}:9100")
        settings.update({
            "service": service["name"], "datagram_endpoint": f"{agent}:7600",
            "request_endpoint": f"{agent}:7601",
            "upstream_datagram_endpoint": f"{upstream}:7700",
            "upstream_request_endpoint": f"{upstream}:7701",
            "upstream_health_path": "/health", "local_address": agent})
        path = self.write_json(name + ".json", settings)
        self.add_process(name, [self.program_path("dandelionslip-agent"),
                                "--config=" + path]).start()
        self.agents[name] = {"data_centre": data_centre, "metrics": f"{agent}:9100",
                             "upstream": f"{upstream}:7701", "service": service["name"]}

    def start_caller(self, name, service, options):
        balancers = ",".join(f"{NET}.2.{i + 1}:{service['port']}"
                             for i in range(len(self.data_centres)))
        out = os.path.join(self.folder, name + ".summary.json")
        arguments = [self.program_path("standin-caller"), "--balancers=" + balancers,
                     f"--prefix={service['name']}-", "--out=" + out]
        arguments += [f"--{key}={value}" for key, value in options.items()]
        self.add_process(name, arguments).start()
        self.callers[name] = out

    def summary(self, name):
        """The latest summary file of a caller process, or None if it has not written one yet."""
        try:
            with open(self.callers[name], encoding="utf-8") as file:
                return json.load(file)
        except FileNotFoundError:
            return None

    def fresh_summary(self, name):
        """Waits until the caller writes its next summary, and returns it."""
        path = self.callers[name]
        before = os.stat(path).st_mtime_ns if os.path.exists(path) else 0
        wait_for(lambda: os.path.exists(path) and os.stat(path).st_mtime_ns > before,
                 "summary of " + name)
        return self.summary(name)

    def write_service(self, service, version, **changes):
        content = {"service": service["name"], "version": version,
                   "addresses": [f"192.0.2.{service['port'] % 100 + 1}:{service['port']}"],
                   "slots_per_upstream": service["slots"], "connections_per_upstream": 2000,
                   "cold_limit": {"slots": 1, "connections": 100},
                   "idempotent": service.get("idempotent", False),
                   "traffic_class": service.get("traffic_class", "quote")}
        content.update(changes)
        return self.write_json(f"{service['name']}.service.json", content)

    def ctl(self, *arguments, check=True, timeout_ms=10000, control=None):
        command = [self.program_path("dandelionslipctl"), *arguments]
        if arguments[0] != "validate":
            command += ["--control=" + (control or ",".join(self.control_endpoints)),
                        f"--timeout-ms={timeout_ms}"]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"{' '.join(arguments)}: exit {result.returncode}: "
                               f"{result.stdout}{result.stderr}")
        return result

    def metrics(self, endpoint):
        """The values of a process's metrics by series; empty if it cannot be reached."""
        try:
            with urllib.request.urlopen(f"http://{endpoint}/metrics", timeout=2) as response:
                text = response.read().decode()
        except OSError:
            return {}
        values = {}
        for line in text.splitlines():
            if not line.startswith("#"):
                series, value = line.rsplit(" ", 1)
                values[series] = float(value)
        return values

    def member_metrics_endpoints(self):
        """Metrics endpoints of all balancers and agents."""
        endpoints = [f"{NET}.2.{i + 1}:9100" for i in range(len(self.data_centres))]
        return endpoints + [agent["metrics"] for agent in self.agents.values()]

    def in_force(self, revision, endpoints=None):
        """Whether the endpoints (default: all members) report at least this revision."""
        return all(
            self.metrics(endpoint).get("dandelionslip_configuration_revision", 0) >= revision
            for endpoint in endpoints or self.member_metrics_endpoints())

    def upstream_json(self, name, path):
        """JSON that a stand-in upstream serves, for example at /stats; None on failure."""
        program = self.program_path("standin-query")
        result = subprocess.run([program, self.agents[name]["upstream"], path],
                                capture_output=True, text=True, timeout=10, check=False)
        return json.loads(result.stdout) if result.returncode == 0 else None

    def kill_all(self):
        for process in self.processes.values():
            process.kill()
