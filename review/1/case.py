"""A control replica that was replaced while it stood still never finds its group again."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from deployment import CannotRun, read_configuration, run_case  # noqa: E402

CATCH_UP_S = 4.0
RECOVERY_S = 12.0
FREEZE_S = 7.0


def replace(deployment, old):
    """Planned: the new machine first, then SIGTERM for the old one, for good."""
    new = deployment.add_control()
    time.sleep(2)
    old.signal(signal.SIGTERM)
    old.child.wait(timeout=8)
    deployment.record.write(f"{new.name} has taken the place of {old.name}")
    running = [node for node in deployment.controls if node.child.poll() is None]
    deployment.change_seeds(running[-3:])
    time.sleep(CATCH_UP_S + 1)
    return new


def case(deployment, trouble):
    record = deployment.record
    deployment.start()
    if deployment.order("/Config.Replace", deployment.configuration(7, "work"), limit_s=30) is None:
        raise CannotRun("the first configuration was not acknowledged")
    seeds, rest = deployment.controls[:3], deployment.controls[3:5]
    first = [replace(deployment, old) for old in seeds]

    # One machine stands still while the next one is being replaced.
    if trouble:
        rest[0].signal(signal.SIGSTOP)
        record.write(f"{rest[0].name} freezes")
    time.sleep(0.5)
    fourth = deployment.add_control()
    time.sleep(FREEZE_S)
    if trouble:
        rest[0].signal(signal.SIGCONT)
        record.write(f"{rest[0].name} wakes")
    time.sleep(CATCH_UP_S + 1)
    rest[1].signal(signal.SIGTERM)
    rest[1].child.wait(timeout=8)
    record.write(f"{fourth.name} has taken the place of {rest[1].name}")
    deployment.change_seeds(first)
    time.sleep(CATCH_UP_S + 4)

    if deployment.order("/Config.Replace", deployment.configuration(9, "work")) is None:
        raise CannotRun("the second configuration was not acknowledged")
    record.write("version 9 acknowledged")

    # As many machines as fault_tolerance allows lose their disks at once, and are back soon.
    lost = first[:2]
    for node in lost:
        node.kill()
        node.wipe()
        record.write(f"{node.name} loses its disk")
    time.sleep(1.2)
    for node in lost:
        node.start()
    time.sleep(RECOVERY_S)
    running = [node for node in deployment.controls if node.child.poll() is None]
    read = []
    end = time.monotonic() + 10
    while time.monotonic() < end and 9 not in read:
        for node in running:
            read.append(read_configuration(f"{node.address}:{deployment.ports['control']}"))
            record.write(f"operator reads the configuration at {node.name} -> {read[-1]}")
        time.sleep(0.5)
    record.write(f"{len(running)} control machines run; version 9 read back: {9 in read}")
    return 9 not in read


run_case(HERE, case)
