"""A link between the operator and one replica that can hold up what is sent on it."""

import socket
import threading
import time


class Link:
    """Listens on an address of its own and passes connections on to the replica.

    While it holds up, the bytes of new connections arrive after the hold-up, and the end of a
    connection follows its last bytes after a round trip, as when TCP sends again what was not
    acknowledged.
    """

    ROUND_TRIP_S = 0.002 # Two times the latency between operator and VMs of kongsi-rb.

    def __init__(self, record, address, target):
        self.record, self.target = record, target
        self.hold_until = 0.0
        self.stopping = False
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(address)
        self.socket.listen(16)
        threading.Thread(target=self._accept, daemon=True).start()

    def hold_up(self, duration_s):
        self.hold_until = time.monotonic() + duration_s

    def close(self):
        self.stopping = True
        self.socket.close()

    def _accept(self):
        while not self.stopping:
            try:
                near, _ = self.socket.accept()
            except OSError:
                return
            threading.Thread(target=self._pass_on, args=(near,), daemon=True).start()

    def _pass_on(self, near):
        far = socket.create_connection(self.target)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self._back, args=(far, near), daemon=True).start()
        held = self.hold_until > time.monotonic()
        try:
            while data := near.recv(65536):
                while time.monotonic() < self.hold_until:
                    time.sleep(0.005)
                far.sendall(data)
                if held:
                    self.record.note(f"a held-up request arrives: {data.split(bytes([13]))[0]!r}")
            if held:
                time.sleep(self.ROUND_TRIP_S)
            far.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    @staticmethod
    def _back(far, near):
        try:
            while data := far.recv(65536):
                near.sendall(data)
        except OSError:
            pass
        for end in (far, near):
            try:
                end.close()
            except OSError:
                pass
