import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from deployment import CannotRun, KEYS, ZONES, Reader, Server, attempt_id, main, request_bytes, whole

KEY = KEYS["huka270"]

# The site's limits of srv_grey: at most a share of 0.14 of the servers fails this part of its requests for so long. One of eight is 0.125.
SERVERS = 8
FAILING_PART = 0.45
FAILING_FOR = 6.5

# The site's orders: 51.9 a second of 30 ms work.
CLIENTS = 13
ORDERS_EACH = 25
PAUSE_S = 0.25
WORK_S = 0.03
PROMISES = (408, 421, 429, 503)


class GreyServer:
    """Carries every order out; then fails a part of them without claiming that it has not run them. Its liveness check stays good."""

    def __init__(self, record):
        self._record = record
        self._due = 0.0
        self.until = None

    def behave(self, channel, request):
        time.sleep(WORK_S)
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
    sound = GreyServer(record)
    servers = [Server(deployment.store, record, "shop-app", ZONES[number % len(ZONES)], slots=6, behave=(sound if number else grey).behave)
               for number in range(SERVERS)]
    deployment.start_gateways()
    if is_disturbed:
        grey.until = time.monotonic() + FAILING_FOR
    broken = []
    orders = []

    def place(client):
        for number in range(ORDERS_EACH):
            gateway = deployment.gateways[(client + number) % len(deployment.gateways)]
            order = f"bundle {client}.{number}".encode()
            orders.append(order)
            # The order and the one retry of the site's clients, on a new channel.
            for _ in range(2):
                attempt = attempt_id()
                with gateway.connect() as channel:
                    channel.settimeout(3)
                    channel.sendall(request_bytes("POST", "/order/1", [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "1000"), ("X-Api-Key", KEY)], order))
                    answer = Reader(channel).message()
                status = int(answer.first.split(" ")[1])
                runs = sum(run.get("X-Attempt-Id") == attempt for server in servers for run in list(server.runs))
                record(f"client: {gateway.name} {order.decode()} attempt={attempt}: {status}, stamp {answer.get('X-Response-Stamp')}, ran {runs} times")
                if status in PROMISES and runs > 0:
                    broken.append(attempt)
                if status not in PROMISES:
                    break
            time.sleep(PAUSE_S)

    clients = [threading.Thread(target=place, args=(client,)) for client in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    if len(orders) != CLIENTS * ORDERS_EACH:
        raise CannotRun("a client was not answered")
    bodies = [run.body for server in servers for run in server.runs]
    twice = sum(bodies.count(order) > 1 for order in orders)
    record(f"{len(broken)} requests that had run were answered with a status that promises that they have not;"
           f" {twice} of {len(orders)} orders were carried out twice")
    return not broken


main(FOLDER, case)
