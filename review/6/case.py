"""A control replica that was cut off while the others were replaced does not come back."""

import json
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import deployment as d  # noqa: E402


def case(deployment, record, trouble):
    first = [deployment.control(number) for number in range(1, 6)]
    later = [deployment.control(number) for number in range(6, 10)]
    in_service = list(first)
    seeds = [d.control_address(replica) for replica in first[:3]]
    operator = d.Operator(record, lambda: [r for r in in_service if r.running()])

    def write_settings():
        """The platform names three replicas in service in every settings file, and says so."""
        names = [d.control_address(replica) for replica in in_service if replica is not isolated][:3]
        for replica in in_service:
            replica.write_settings(False, names)
            replica.signal(signal.SIGHUP)

    isolated = first[4]
    for replica in first:
        replica.write_settings(True, seeds)
        replica.start()
    document = json.dumps(d.configuration(7)).encode()
    if operator.order("/Config.Replace", document) != 200:
        raise d.NotRun("the first configuration was not acknowledged")
    if trouble:
        isolated.signal(signal.SIGSTOP)
    time.sleep(2.5)

    # One at a time: the new VM is in service for longer than catch_up_s before the old one goes.
    for old, new in zip(first[:4], later):
        in_service.append(new)
        names = [d.control_address(r) for r in in_service if r not in (isolated, new)][:3]
        new.write_settings(False, names)
        new.start()
        time.sleep(d.CATCH_UP_S + 0.5)
        in_service.remove(old)
        old.terminate()
        write_settings()
        time.sleep(0.5)
    # One VM is lost for good. With the isolated one these are the two that may be lost at once.
    in_service.remove(later[0])
    later[0].kill()
    write_settings()
    time.sleep(2.0)
    if trouble:
        isolated.signal(signal.SIGCONT)
    write_settings()
    time.sleep(d.CATCH_UP_S + d.CONTACT_S + 2.0)

    def same(text):
        return text == document

    if operator.read(d.RECOVERY_S, same) != document:
        record.note("the acknowledged configuration cannot be read before the next loss")
        return d.BROKEN
    # The isolated VM has been back for longer than catch_up_s, so a second one may be lost.
    in_service.remove(later[1])
    later[1].kill()
    time.sleep(2.0)
    found = operator.read(d.RECOVERY_S + d.CONTACT_S, same)
    record.note(f"in service: {[r.name for r in in_service if r.running()]}")
    changed = operator.order("/Config.Replace", json.dumps(d.configuration(9)).encode(), 10.0)
    record.note(f"a further change: {changed}")
    return d.HELD if found == document and changed == 200 else d.BROKEN


if __name__ == "__main__":
    d.main(case, HERE)
