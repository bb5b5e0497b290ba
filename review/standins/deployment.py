"""A small deployment of dandelionslip-platform on loopback, with stand-ins for what surrounds it.

Starts the project's program in its three roles with the commands of deploy/system.toml, renders
platform/node.json as the platform does, and plays the operator, servers and requesters.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Bounds of the installation kongsi-rb.
BOUNDS = {
    "contact_ms": 4000,
    "ack_ms": 5000,
    "evacuate_ms": 5000,
    "drain_ms": 3000,
    "cold_excess_factor": 1.5,
    "cold_slack": 5,
    "max_flow_s": 60,
}
HEARTBEAT_MS = 770
MAX_RUN_S = 115
ZONES = ("zone-a", "zone-b", "zone-c")
FLAG_FIN, FLAG_RST, FLAG_BOUNCED, FLAG_SYN, FLAG_ACK = 2, 16, 32, 64, 128
HEADER = struct.Struct(">IIBBHHHIIII")


class CannotRun(Exception):
    """The case could not be set up."""


class Packet:
    """Header and data of the platform's packets."""

    def __init__(self, flags, source, target, seq=0, ack=0, data=b"", echo=0):
        self.flags = flags
        self.source = source  # (address, port)
        self.target = target
        self.seq = seq & 0xFFFFFFFF
        self.ack = ack & 0xFFFFFFFF
        self.data = data
        self.echo = echo

    def encode(self):
        def number(address):
            return struct.unpack(">I", socket.inet_aton(address))[0]

        fields = (self.flags, 0, len(self.data), self.source[1], self.target[1],
                  number(self.source[0]), number(self.target[0]), self.seq, self.ack)
        # The key of the sum is not disclosed; the two ends here share one of their own.
        total = hash(("key", self.flags & ~FLAG_BOUNCED) + fields[2:] + (self.data,)) & 0xFFFFFFFF
        return HEADER.pack(total, self.echo, *fields) + self.data

    @staticmethod
    def decode(raw):
        total, echo, flags, _pad, length, sport, dport, src, dst, seq, ack = HEADER.unpack_from(raw)
        if len(raw) != HEADER.size + length:
            return None
        def text(value):
            return socket.inet_ntoa(struct.pack(">I", value))

        packet = Packet(flags, (text(src), sport), (text(dst), dport), seq, ack,
                        raw[HEADER.size:], echo)
        packet.total = total
        return packet

    def has(self, flag):
        return bool(self.flags & flag)


class Record:
    """The file record.txt of a case, and the same lines in memory."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.3f} {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills in the template as the platform's page on settings describes."""
    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        entries = value(match.group(1)) or []
        parts = []
        for i, entry in enumerate(entries):
            body = match.group(2).replace("{{.}}", str(entry))
            parts.append(body.replace("{{,}}", "," if i + 1 < len(entries) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(value(m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if value(m.group(1)) is None else str(value(m.group(1))), text)


class Node:
    """One process of the system on a machine of its own, which is a loopback address."""

    def __init__(self, deployment, name, role, address, zone, **fields):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.address = address
        self.zone = zone
        self.fields = fields
        self.child = None
        self.first = True

    def settings(self):
        d = self.deployment
        listen = {"udp_addr": f"{self.address}:{d.ports['udp']}",
                  "ready": f"{self.address}:{d.ports['ready']}"}
        if self.role != "balancer":
            listen["control"] = f"{self.address}:{d.ports['control']}"
        if self.role == "agent":
            listen["outbound"] = f"{self.address}:{d.ports['outbound']}"
        if self.role == "control":
            listen = {"control": listen["control"]}
        share = {"balancer": 0.25, "agent": 0.15, "control": 0.6}[self.role]
        fields = {
            "node_name": self.name, "zone": self.zone, "ip": self.address,
            "bootstrap": self.first, "seeds": d.seeds, "listen": listen,
            "internal_ports": [d.ports["internal"], d.ports["internal"] + 15],
            "limits": {"cpu_share": share, "link_mbps": 1000.0}, "heartbeat_ms": HEARTBEAT_MS,
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "data_dir": os.path.join(d.folder, self.name) if self.role == "control" else None,
        }
        fields.update(self.fields)
        with open(os.path.join(ROOT, "platform", "node.json"), encoding="utf-8") as template:
            text = render(template.read(), fields)
        # Each machine has a metrics port of its own there; here it may be in use.
        return text.replace(f"{self.address}:9464", f"{self.address}:{d.ports['metrics']}")

    def write_settings(self):
        path = os.path.join(self.deployment.folder, self.name + ".conf")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(self.settings())
        os.replace(path + ".new", path)
        return path

    def start(self):
        path = self.write_settings()
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DANDELIONSLIP_NODE_FILE"] = path
        with open(os.path.join(self.deployment.folder, self.name + ".log"), "ab") as log:
            self.child = subprocess.Popen(self.deployment.commands[self.role], cwd=ROOT,
                                          env=environment, stdout=log, stderr=log)
        self.first = False

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.kill()
            self.child.wait()

    def wipe(self):
        """The machine loses its disk; its process has ended."""
        shutil.rmtree(os.path.join(self.deployment.folder, self.name), ignore_errors=True)

    def log(self):
        with open(os.path.join(self.deployment.folder, self.name + ".log"), encoding="utf-8",
                  errors="replace") as file:
            return file.read()


class Server:
    """An application server: takes flows over UDP and sends heartbeats to the node beside it."""

    def __init__(self, deployment, node, service, first_seq=1, beats_from=None):
        self.deployment = deployment
        self.node = node
        self.service = service
        self.id = "i-" + "%08x" % random.getrandbits(32)
        self.address = (node.address, deployment.ports["app"])
        self.outbound = (node.address, deployment.ports["outbound"])
        self.lock = threading.Lock()
        self.born = int(time.time() * 1000)
        self.seq = first_seq - 1
        self.cold_until = 0.0
        self.flows = {}
        self.opened = []  # (when, flow) of each SYN taken
        self.acknowledged = 0
        self.next_beat = time.monotonic() if beats_from is None else beats_from
        self.stopping = False
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind(self.address)
        self.udp.settimeout(0.1)
        self.tcp = socket.socket()
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind(self.address)
        self.tcp.listen(16)
        self.tcp.settimeout(0.1)
        for work in (self._receive, self._beat, self._health):
            threading.Thread(target=work, daemon=True).start()

    def turn_cold(self, seconds):
        with self.lock:
            self.cold_until = time.monotonic() + seconds

    def _beat(self):
        while not self.stopping:
            now = time.monotonic()
            if now < self.next_beat:
                time.sleep(0.002)
                continue
            self.next_beat = max(self.next_beat + HEARTBEAT_MS / 1000, now)
            with self.lock:
                self.seq += 1
                body = {"service": self.service, "addr": "%s:%d" % self.address,
                        "zone": self.node.zone, "version": "v1", "concurrency": 4,
                        "state": "ready", "seq": self.seq, "born": self.born,
                        "cold_left_ms": max(0, int((self.cold_until - now) * 1000))}
            threading.Thread(target=self._send_beat, args=(body,), daemon=True).start()

    def _send_beat(self, body):
        status = call(f"{self.node.address}:{self.deployment.ports['control']}", "POST",
                      f"/Instances.Heartbeat/{self.id}", body)
        self.deployment.record.write(
            f"heartbeat {self.id} seq {body['seq']} cold_left_ms {body['cold_left_ms']} -> {status}")
        if status == 200:
            self.acknowledged += 1

    def _health(self):
        while not self.stopping:
            try:
                connection, _ = self.tcp.accept()
            except OSError:
                continue
            with connection:
                connection.settimeout(0.3)
                try:
                    connection.recv(4096)
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                except OSError:
                    pass

    def _send(self, packet):
        self.udp.sendto(packet.encode(), self.outbound)

    def _receive(self):
        while not self.stopping:
            try:
                raw = self.udp.recv(65536)
            except OSError:
                continue
            packet = Packet.decode(raw)
            if packet is not None:
                self._on_packet(packet, raw)

    def _on_packet(self, packet, raw):
        key = (packet.source, packet.target)
        flow = self.flows.get(key)
        if packet.has(FLAG_SYN):
            if flow is None or flow["caller_seq"] != packet.seq:
                flow = {"caller_seq": packet.seq, "seq": random.getrandbits(32), "answered": False,
                        "open": False, "ended": False}
                self.flows[key] = flow
                with self.lock:
                    cold = time.monotonic() < self.cold_until
                    self.opened.append((time.monotonic(), key, cold))
                self.deployment.record.write(
                    f"server {self.id} in {self.node.zone} took SYN of {key[0][0]}:{key[0][1]}"
                    f"{' while cold' if cold else ''}")
            self._send(Packet(FLAG_SYN | FLAG_ACK, packet.target, packet.source, flow["seq"],
                              packet.seq + 1))
            return
        known = flow is not None and not flow["ended"] and (
            flow["open"] or packet.ack == (flow["seq"] + 1) & 0xFFFFFFFF)
        if not known:
            if flow is not None and flow["ended"]:
                if packet.has(FLAG_FIN):
                    self._send(Packet(FLAG_ACK, packet.target, packet.source, packet.ack,
                                      packet.seq + len(packet.data) + 1))
                return
            bounced = bytearray(raw)
            bounced[8] |= FLAG_BOUNCED
            bounced[9] = 0
            self.udp.sendto(bytes(bounced), self.outbound)
            return
        flow["open"] = True
        if packet.has(FLAG_RST):
            flow["ended"] = True
            return
        if packet.data:
            request = re.search(rb"X-Request-Id: (\S+)", packet.data)
            identity = request.group(1).decode() if request else "?"
            if identity != flow.get("last"):
                flow["last"] = identity
                self.deployment.record.write(f"server {self.id} in {self.node.zone} ran {identity}")
            body = f"{identity} by {self.id}".encode()
            head = (f"HTTP/1.1 200 OK\r\nX-Response-Sig: {identity}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n").encode()
            self._send(Packet(FLAG_ACK, packet.target, packet.source, packet.ack,
                              packet.seq + len(packet.data), head + body))
        if packet.has(FLAG_FIN):
            flow["ended"] = True
            self._send(Packet(FLAG_FIN | FLAG_ACK, packet.target, packet.source, packet.ack,
                              packet.seq + len(packet.data) + 1))

    def stop(self):
        self.stopping = True


class Requester:
    """Opens flows through the fabric, which picks a balancer by a hash of the flow."""

    def __init__(self, deployment, route):
        self.deployment = deployment
        self.route = route
        self.address = deployment.address(9, 1)
        self.flows = {}
        self.lock = threading.Lock()
        self.next_port = 20000
        self.stopping = False
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.udp.bind((self.address, deployment.ports["udp"]))
        self.udp.settimeout(0.05)
        self.results = []
        threading.Thread(target=self._receive, daemon=True).start()
        threading.Thread(target=self._retransmit, daemon=True).start()

    def _send(self, packet):
        balancers = self.deployment.balancers
        chosen = balancers[hash((packet.source, packet.target)) % len(balancers)]
        self.udp.sendto(packet.encode(), (chosen.address, self.deployment.ports["udp"]))

    def open(self, keep=False, on_answer=None):
        """Opens a flow, sends one request, and closes the flow unless keep is set."""
        with self.lock:
            self.next_port += 1
            port = self.next_port
            flow = {"port": port, "seq": random.getrandbits(32), "ack": 0, "state": "opening",
                    "sent": time.monotonic(), "copies": 0, "keep": keep, "requests": 0,
                    "opened_at": time.monotonic(), "on_answer": on_answer, "identity": None,
                    "server": None}
            self.flows[port] = flow
        self._send(Packet(FLAG_SYN, (self.address, port), self.route, flow["seq"]))
        return flow

    def request(self, flow):
        """Sends a request on an open flow."""
        with self.lock:
            flow["requests"] += 1
            flow["identity"] = "r-%d-%d" % (flow["port"], flow["requests"])
            flow["state"] = "waiting"
            flow["sent"] = time.monotonic()
            flow["asked"] = time.monotonic()
            flow["copies"] = 0
            flow["data"] = (f"GET /work HTTP/1.1\r\nHost: x\r\nX-Request-Id: {flow['identity']}"
                            "\r\n\r\n").encode()
        self._send_data(flow)

    def _send_data(self, flow):
        self._send(Packet(FLAG_ACK, (self.address, flow["port"]), self.route, flow["seq"] + 1,
                          flow["ack"], flow["data"]))

    def _receive(self):
        while not self.stopping:
            try:
                raw = self.udp.recv(65536)
            except OSError:
                continue
            packet = Packet.decode(raw)
            flow = self.flows.get(packet.target[1]) if packet else None
            if flow is not None:
                self._on_packet(packet, flow)

    def _on_packet(self, packet, flow):
        if packet.has(FLAG_RST):
            if flow["state"] != "closed":
                foreign = packet.total == 0
                self.deployment.record.write(
                    f"requester got reset of flow {flow['port']} in state {flow['state']}"
                    f"{' from the system' if foreign else ' from the server'}")
                self.results.append((time.monotonic(), flow["port"], "reset", flow["state"]))
                flow["reset_in"] = flow["state"]
                flow["state"] = "closed"
            return
        if packet.has(FLAG_SYN):
            if flow["state"] == "opening":
                flow["ack"] = packet.seq + 1
                self.request(flow)
            return
        if packet.data and flow["state"] == "waiting":
            found = re.search(rb"X-Response-Sig: (\S+)\r\n.*\r\n\r\n(.*)$", packet.data, re.S)
            if not found or found.group(1).decode() != flow["identity"]:
                return
            flow["seq"] = packet.ack - 1
            flow["ack"] = packet.seq + len(packet.data)
            flow["server"] = found.group(2).decode().split()[-1]
            flow["state"] = "idle"
            flow["answered_at"] = time.monotonic()
            self.results.append((time.monotonic(), flow["port"], "answer", flow["identity"]))
            if not flow["keep"]:
                flow["state"] = "closed"
                self._send(Packet(FLAG_FIN | FLAG_ACK, (self.address, flow["port"]), self.route,
                                  flow["seq"] + 1, flow["ack"]))

    def _retransmit(self):
        while not self.stopping:
            time.sleep(0.02)
            now = time.monotonic()
            with self.lock:
                flows = [f for f in self.flows.values() if f["state"] in ("opening", "waiting")]
            for flow in flows:
                age = now - flow["sent"]
                if flow["state"] == "opening":
                    due = (0.2, 0.6, 1.4)[min(flow["copies"], 2)]
                    if age < due:
                        continue
                    if flow["copies"] == 2:
                        flow["state"] = "closed"
                        continue
                    flow["copies"] += 1
                    self._send(Packet(FLAG_SYN, (self.address, flow["port"]), self.route,
                                      flow["seq"], flow["copies"]))
                elif age >= min(1.6, 0.2 * 2 ** flow["copies"]):
                    flow["copies"] += 1
                    flow["sent"] = now
                    if now - flow["asked"] > 5:
                        flow["state"] = "closed"
                        continue
                    self._send_data(flow)

    def stop(self):
        self.stopping = True


def call(endpoint, method, path, body=None, timeout=1.0):
    """One HTTP call; returns the status, or the reason why there is none."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        headers = {"Content-Type": "application/json"} if data else {}
        connection.request(method, path, data, headers)
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as error:
        return type(error).__name__
    finally:
        connection.close()


def read_configuration(endpoint):
    """The version of the configuration that a control machine answers a read with, or the reason
    why there is none."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
    try:
        connection.request("GET", "/Config.Read")
        response = connection.getresponse()
        body = response.read()
        return json.loads(body)["version"] if response.status == 200 else f"status {response.status}"
    except (OSError, http.client.HTTPException, ValueError) as error:
        return type(error).__name__
    finally:
        connection.close()


class Deployment:
    """Five control machines, two balancers, and the agents that a case adds."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="dandelionslip-review-")
        self.net, self.ports = self._reserve()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"].values()
        self.commands = {role["run"].split()[1]: role["run"].split() for role in roles}
        if not os.path.exists(os.path.join(ROOT, self.commands["control"][0])):
            raise CannotRun("target/ is not built")
        self.controls = []
        self.balancers = []
        self.agents = []
        self.servers = []
        self.requester = None
        self.seeds = [f"{self.address(1, i + 1)}:{self.ports['control']}" for i in range(3)]
        for i in range(5):
            self.controls.append(Node(self, f"core-{i + 1}", "control", self.address(1, i + 1),
                                      ZONES[i % 3]))
        for i in range(2):
            self.balancers.append(Node(self, f"front-{i + 1}", "balancer", self.address(2, i + 1),
                                       ZONES[i % 3]))

    # Takes a range of loopback addresses for this deployment, and ports that are free there. The
    # range stays reserved until the process ends.
    def _reserve(self):
        for _ in range(100):
            net = f"127.{random.randrange(20, 250)}"
            reservation = socket.socket()
            try:
                reservation.bind((f"{net}.255.1", 9999))
            except OSError:
                reservation.close()
                continue
            self.reservation = reservation
            ports = {}
            for name in ("udp", "ready", "control", "outbound", "app", "metrics", "internal"):
                ports[name] = self._free_port(net, ports.values())
            return net, ports
        raise CannotRun("no free loopback addresses")

    @staticmethod
    def _free_port(net, taken):
        for _ in range(100):
            port = random.randrange(10000, 30000)
            if port in taken:
                continue
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{net}.1.1", port))
                return port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def address(self, kind, number):
        return f"{self.net}.{kind}.{number}"

    def add_server(self, zone, service, first_seq=1, beats_from=None):
        number = len(self.agents) + 1
        node = Node(self, f"side-{number}", "agent", self.address(3, number), zone,
                    service=service, app=f"{self.address(3, number)}:{self.ports['app']}")
        self.agents.append(node)
        node.start()
        server = Server(self, node, service, first_seq, beats_from)
        self.servers.append(server)
        return server

    def start(self):
        for node in self.controls + self.balancers:
            node.start()

    def add_control(self):
        """Adds an empty control machine at an address of its own."""
        number = len(self.controls) + 1
        node = Node(self, f"core-{number}", "control", self.address(1, number),
                    ZONES[number % 3])
        node.first = False
        self.controls.append(node)
        node.start()
        return node

    def change_seeds(self, nodes):
        """The settings name other seeds: rewrites the files, and signals the processes."""
        self.seeds = [f"{node.address}:{self.ports['control']}" for node in nodes]
        for node in self.controls + self.balancers + self.agents:
            if node.child is not None and node.child.poll() is None:
                node.write_settings()
                node.signal(signal.SIGHUP)

    def configuration(self, version, service):
        return {"version": version, "routes": [
            {"name": "r-work", "host": self.address(8, 1), "path_prefix": "/8443/",
             "type": "download", "timeout_ms": 5000, "slo_ms": 500, "priority": 2,
             "service": service, "attempts": 2}],
            "services": [{"name": service, "health_path": "/healthz", "max_conns": 2000,
                          "protocol": "h1", "tls": False, "warmup_s": 2.0, "ramp_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    def order(self, path, body=None, first=None, limit_s=10):
        """Sends an order until it is acknowledged, as the operator does. Returns when it was."""
        start = time.monotonic()
        turn = [node for node in self.controls if node.child.poll() is None]
        random.shuffle(turn)
        if first is not None:
            turn.remove(first)
            turn.insert(0, first)
        attempt = 0
        while time.monotonic() - start < limit_s:
            node = turn[attempt % len(turn)]
            status = call(f"{node.address}:{self.ports['control']}", "POST", path, body)
            self.record.write(f"operator sent {path} to {node.name} -> {status}")
            if status == 200:
                return time.monotonic()
            attempt += 1
            time.sleep(0.05)
        return None

    def leader(self):
        """The replica that last logged that it leads; control has no call that tells the operator."""
        newest = (0, None)
        for node in self.controls:
            for line in node.log().splitlines():
                found = re.search(r"event=role_changed role=leader term=(\d+)", line)
                if found and int(found.group(1)) > newest[0]:
                    newest = (int(found.group(1)), node)
        return newest[1]

    def ready(self, limit_s=30):
        start = time.monotonic()
        while time.monotonic() - start < limit_s:
            states = [call(f"{b.address}:{self.ports['ready']}", "GET", "/readyz")
                      for b in self.balancers]
            if all(state == 200 for state in states):
                return
            time.sleep(0.1)
        raise CannotRun("balancers did not become ready")

    def route(self):
        return (self.address(8, 1), 8443)

    def stop(self):
        for item in self.servers + ([self.requester] if self.requester else []):
            item.stop()
        for node in self.controls + self.balancers + self.agents:
            node.kill()


def run_case(folder, case):
    """Runs case(deployment, trouble) -> whether the rule was broken, and exits accordingly."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    deployment = None
    code = 2

    def interrupted(number, _frame):
        raise CannotRun(f"ended by signal {number}")

    # An interrupted or overlong run ends its processes too.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, interrupted)
    signal.alarm(MAX_RUN_S)
    try:
        deployment = Deployment(record)
        broken = case(deployment, trouble)
        code = 1 if broken else 0
        record.write("rule broken" if broken else "rule held")
    except Exception as error:  # Whatever went wrong, it doesn't show that a rule was broken.
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        signal.alarm(0)
        if deployment is not None:
            deployment.stop()
            if os.environ.get("KEEP_LOGS"):
                print(deployment.folder)
            else:
                shutil.rmtree(deployment.folder, ignore_errors=True)
    print({0: "rule held", 1: "rule broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)
