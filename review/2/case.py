import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from deployment import KEYS, ZONES, Reader, Server, attempt_id, main, request_bytes, whole

KEY = KEYS["huka270"]

# The site's limits of srv_grey: a share of 0.14, which is one of three servers, fails this part of its requests for so long.
FAILING_PART = 0.45
FAILING_FOR = 6.5
ORDERS = 60
PROMISES = (408, 421, 429, 503)


class GreyServer:
    """Carries every order out; then fails a part of them without claiming that it has not run them. Its liveness check stays good."""

    def __init__(self, record):
        self._record = record
        self._due = 0.0
        self.until = None

    def behave(self, channel, request):
        if self.until is None or time.monotonic() >= self.until:
            return False
        self._due += FAILING_PART
        if self._due < 1:
            return False
        self._due -= 1
        self._record(f"server: attempt={request.get('X-Attempt-Id')} has run and is answered 503 without X-Not-Executed")
        channel.sendall(whole(503, Server.answer_headers(request), b"order stored, confirmation failed"))
        return True


def case(deployment, record, is_disturbed):
    grey = GreyServer(record)
    servers = [Server(deployment.store, record, "shop-app", zone, slots=6, behave=grey.behave if zone == ZONES[0] else None) for zone in ZONES]
    deployment.start_gateways()
    if is_disturbed:
        grey.until = time.monotonic() + FAILING_FOR
    broken = twice = 0
    for number in range(ORDERS):
        gateway = deployment.gateways[number % len(deployment.gateways)]
        order = f"bundle {number}".encode()
        # The order and the one retry of the site's clients, on a new channel.
        for _ in range(2):
            attempt = attempt_id()
            with gateway.connect() as channel:
                channel.settimeout(3)
                channel.sendall(request_bytes("POST", "/order/1", [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "1000"), ("X-Api-Key", KEY)], order))
                answer = Reader(channel).message()
            status = int(answer.first.split(" ")[1])
            runs = sum(run.get("X-Attempt-Id") == attempt for server in servers for run in server.runs)
            record(f"client: {gateway.name} {order.decode()} attempt={attempt}: {status}, stamp {answer.get('X-Response-Stamp')}, ran {runs} times")
            broken += status in PROMISES and runs > 0
            if status not in PROMISES:
                break
        times = sum(run.body == order for server in servers for run in server.runs)
        if times > 1:
            twice += 1
            record(f"{order.decode()}: carried out {times} times")
        time.sleep(0.05)
    record(f"{broken} requests that had run were answered with a status that promises that they have not; {twice} orders were carried out twice")
    return broken == 0


main(FOLDER, case)
