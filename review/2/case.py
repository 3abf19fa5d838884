"""Upstreams spoil one byte in the head of a few answers."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import kit  # noqa: E402

TIMEOUT_MILLIS = 1_200
HALF_A_SECOND = 0.5
UPSTREAMS = 12
SPOILING_UPSTREAMS = 4  # a third; the site file has share = 0.35
ANSWERS_PER_SPOILED_ANSWER = 50  # x = 0.02
ROUNDS = 5
ROUND_SECONDS = 5.5  # for_s = 5.5
PAUSE_SECONDS = 1.0
CLIENTS = 24
CLIENT_PAUSE_SECONDS = 0.15


class Spoiler:
    """Decides which answers are spoiled: of the first upstreams each fiftieth, while a round lasts."""

    def __init__(self):
        self.active = False
        self.counts = {}
        self.lock = threading.Lock()
        self.spoiled = set()

    def is_due(self, upstream, request):
        if not self.active or int(upstream.name.split("-")[1]) >= SPOILING_UPSTREAMS:
            return False
        with self.lock:
            self.counts[upstream.name] = self.counts.get(upstream.name, 0) + 1
            due = self.counts[upstream.name] % ANSWERS_PER_SPOILED_ANSWER == 25
            if due:
                self.spoiled.add(request.id)
            return due


class Client(threading.Thread):
    """Sends one request after the other on kept connections, and waits for each up to its timeout and 0.5 s more."""

    def __init__(self, case, number, daemon, stop, tally):
        super().__init__(daemon=True)
        self.case, self.number, self.front, self.stop, self.tally = case, number, daemon.front, stop, tally
        self.connection = None

    def run(self):
        count = 0
        while not self.stop.is_set():
            count += 1
            request_id = f"c{self.number}-{count}"
            outcome, seconds = self.exchange(request_id)
            with self.tally["lock"]:
                self.tally["sent"] += 1
                self.tally[outcome] = self.tally.get(outcome, 0) + 1
                if seconds > TIMEOUT_MILLIS / 1000:
                    self.tally["unanswered at the timeout"].append(request_id)
                if outcome == "no answer":
                    self.tally["unanswered 0.5 s later"].append(request_id)
            if outcome != "200":
                self.case.record.say(f"{request_id}: {outcome} after {seconds:.3f} s")
            time.sleep(CLIENT_PAUSE_SECONDS)

    def exchange(self, request_id):
        start = time.monotonic()
        try:
            if self.connection is None:
                sock = socket.create_connection((kit.LOOPBACK, self.front), timeout=1.0)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self.connection = kit.Connection(sock)
            start = time.monotonic()
            self.connection.sock.settimeout(TIMEOUT_MILLIS / 1000 + HALF_A_SECOND)
            self.connection.sock.sendall(
                f"GET /menu/{request_id} HTTP/1.1\r\nHost: menu.example\r\nRequest-Id: {request_id}\r\n"
                f"Deadline-Ms: {TIMEOUT_MILLIS}\r\n\r\n".encode()
            )
            head = self.connection.read_head()
            if head is None:
                outcome = "closed"
            else:
                self.connection.read_body(head[1])
                outcome = head[0].split(" ")[1]
        except socket.timeout:
            outcome = "no answer"
        except OSError:
            outcome = "closed"
        if not outcome.isdigit():
            self.connection.close()
            self.connection = None
        return outcome, time.monotonic() - start


def body(case):
    spoiler = Spoiler()

    def answer(upstream, request):
        time.sleep(0.02)
        payload = b"the menu of today"
        note = "text/plain"
        if spoiler.is_due(upstream, request):
            case.record.say(f"upstream {upstream.name} spoils a byte in the head of its answer to {request.id}")
            note = "text/\x01lain"
        fields = {"Request-Id": request.id, "Response-Seal": f"{request.id}.200", "Content-Type": note}
        return kit.http_answer(200, fields, payload)

    for number in range(UPSTREAMS):
        case.upstream(f"i-{number}", "menu-board", "amman-a", 2, answer)
    route = {
        "name": "r-menu",
        "host": "menu.example",
        "prefix": "/menu/",
        "kind": "idempotent",
        "timeout": f"{TIMEOUT_MILLIS}ms",
        "target": "600ms",
        "service": "menu-board",
    }
    case.store.write("op/config", kit.configuration(7, [route], ["menu-board"]))
    daemons = [case.daemon(f"front-{number}", "amman-a") for number in range(3)]
    kit.await_ready(daemons)
    time.sleep(4)  # longer than stability_window

    stop = threading.Event()
    tally = {"lock": threading.Lock(), "sent": 0, "unanswered at the timeout": [], "unanswered 0.5 s later": []}
    clients = [Client(case, number, daemons[number % len(daemons)], stop, tally) for number in range(CLIENTS)]
    for client in clients:
        client.start()
    for number in range(ROUNDS):
        spoiler.active = kit.trouble()
        case.record.say(f"round {number + 1} begins, answers are spoiled: {spoiler.active}")
        time.sleep(ROUND_SECONDS)
        spoiler.active = False
        time.sleep(PAUSE_SECONDS)
    stop.set()
    for client in clients:
        client.join(5)

    late, hung = tally["unanswered at the timeout"], tally["unanswered 0.5 s later"]
    outcomes = {key: value for key, value in tally.items() if isinstance(value, int) and key != "sent"}
    case.record.show(f"{tally['sent']} requests sent, outcomes {outcomes}, {len(spoiler.spoiled)} answers spoiled")
    case.record.show(
        f"unanswered at the route's timeout: {len(late)}; of these without an answer 0.5 s later: {len(hung)}"
        " (CONFIG: at most half)"
    )
    case.record.show(f"the upstream had answered, with a spoiled byte: {len(set(hung) & spoiler.spoiled)} of these")
    return len(hung) >= 8 and 2 * len(hung) > len(late)


kit.main(FOLDER, body)
