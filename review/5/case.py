"""Two machines of a zone freeze, and the configuration changes right after."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import kit  # noqa: E402

MACHINES_BY_ZONE = {"amman-a": 12, "amman-b": 3, "amman-c": 2, "amman-d": 3}
ZONES = tuple(MACHINES_BY_ZONE)
FROZEN_MACHINES = 2  # of 20, share = 0.1
FREEZE_SECONDS = 4.0
FREEZES_AFTER_CHANGE_SECONDS = (3.3, 3.5)  # a machine freezes at any moment; two of them are tried
CHANGE_AFTER_SECONDS = 0.1
PAUSE_SECONDS = 8.0
CONFIG_SECONDS = 2.0  # the bound `config`
TIMEOUT_MILLIS = 1_500
REQUEST_PAUSE_SECONDS = 0.04


class Prober(threading.Thread):
    """Sends orders to one daemon, one after the other, each on a connection of its own."""

    def __init__(self, case, daemon, stop, sent):
        super().__init__(daemon=True)
        self.case, self.daemon_name, self.front, self.stop, self.sent = case, daemon.name, daemon.front, stop, sent

    def run(self):
        count = 0
        while not self.stop.is_set():
            count += 1
            request_id = f"{self.daemon_name}.{count}"
            self.sent[request_id] = (time.monotonic(), self.daemon_name)
            outcome = self.exchange(request_id)
            if outcome != "200":
                self.case.record.say(f"{request_id}: {outcome}")
            time.sleep(REQUEST_PAUSE_SECONDS)

    def exchange(self, request_id):
        try:
            with socket.create_connection((kit.LOOPBACK, self.front), timeout=1.0) as sock:
                sock.settimeout(TIMEOUT_MILLIS / 1000 + 1)
                sock.sendall(
                    f"POST /orders/{request_id} HTTP/1.1\r\nHost: orders.example\r\nRequest-Id: {request_id}\r\n"
                    f"Deadline-Ms: {TIMEOUT_MILLIS}\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok".encode()
                )
                connection = kit.Connection(sock)
                head = connection.read_head()
                return "closed" if head is None else head[0].split(" ")[1]
        except OSError as problem:
            return str(problem)


def body(case):
    ran = {}

    def answer(upstream, request):
        ran[request.id] = upstream.service
        time.sleep(0.01)
        return 200, b"done"

    for number in range(8):
        case.upstream(f"old-{number}", "order-book", ZONES[number % 4], 2, answer)
        case.upstream(f"new-{number}", "order-book-new", ZONES[number % 4], 2, answer)

    def routes(service, timeout=f"{TIMEOUT_MILLIS}ms"):
        return [
            {
                "name": "r-orders",
                "host": "orders.example",
                "prefix": "/orders/",
                "kind": "non_idempotent",
                "timeout": timeout,
                "target": "600ms",
                "service": service,
            }
        ]

    services = ["order-book", "order-book-new"]
    case.store.write("op/config", kit.configuration(7, routes("order-book"), services))
    daemons = [
        case.daemon(f"front-{zone}-{number}", zone)
        for zone, machines in MACHINES_BY_ZONE.items()
        for number in range(machines)
    ]
    kit.await_ready(daemons, 60)
    time.sleep(4)  # longer than stability_window
    # The machines that read the platform's store for their zone, as `how = "reader"` picks them.
    zone = ZONES[0]
    readers = [daemon for daemon in daemons if daemon.zone == zone and daemon.status()["watcher"]]
    others = [daemon for daemon in daemons if daemon.zone == zone and daemon not in readers]
    if len(readers) != FROZEN_MACHINES:
        raise kit.CaseCouldNotRun(f"{len(readers)} machines of {zone} read the store")

    stop, sent = threading.Event(), {}
    probers = [Prober(case, daemon, stop, sent) for daemon in others]
    for prober in probers:
        prober.start()
    stale = 0
    version = 7
    for number, after in enumerate(FREEZES_AFTER_CHANGE_SECONDS):
        former, new = services if number % 2 == 0 else reversed(services)
        version += 2
        case.store.write("op/config", kit.configuration(version, routes(former, "1499ms"), services))
        time.sleep(after)
        if kit.trouble():
            case.record.show("freeze of " + ", ".join(daemon.name for daemon in readers))
            for daemon in readers:
                daemon.signal(signal.SIGSTOP)
        frozen_at = time.monotonic()
        time.sleep(CHANGE_AFTER_SECONDS)
        version += 2
        case.store.write("op/config", kit.configuration(version, routes(new), services))
        acknowledged = time.monotonic()
        case.record.show(f"the store has acknowledged version {version:08x}, which moves the route to {new}")
        time.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.monotonic()))
        for daemon in readers:
            daemon.signal(signal.SIGCONT)
        time.sleep(1)
        stale += count_stale(case, others, sent, ran, former, acknowledged)
        time.sleep(PAUSE_SECONDS)
    stop.set()
    for prober in probers:
        prober.join(5)
    case.record.show(f"{stale} orders sent later than `config` ran at the former service (CONFIG: none is allowed)")
    return stale > 0


def count_stale(case, daemons, sent, ran, former, acknowledged):
    """Counts the orders that the former service ran though they were sent later than `config` allows."""
    stale = 0
    for daemon in daemons:
        delays = [
            at - acknowledged
            for request_id, (at, name) in list(sent.items())
            if name == daemon.name and ran.get(request_id) == former and at > acknowledged - 1
        ]
        late = [delay for delay in delays if delay > CONFIG_SECONDS]
        stale += len(late)
        case.record.show(
            f"{daemon.name}: the last order that {former} ran was sent {max(delays, default=0):.2f} s after the"
            f" acknowledgement; {len(late)} were sent later than {CONFIG_SECONDS} s"
        )
    return stale


kit.main(FOLDER, body)
