import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from deployment import KEYS, ZONES, Reader, Server, attempt_id, main, request_bytes

KEY = KEYS["huka270"]
RECOVER_S = 12
RESTART_DELAY_S = 0.5
ORDERS = 60


def case(deployment, record, is_disturbed):
    for zone in ZONES:
        Server(deployment.store, record, "shop-app", zone, slots=6)
    deployment.start_gateways()

    def served():
        """The number of orders that are served, of those sent through all gateways in turn."""
        count = 0
        for number in range(ORDERS):
            gateway = deployment.gateways[number % len(deployment.gateways)]
            attempt = attempt_id()
            try:
                with gateway.connect() as channel:
                    channel.settimeout(2)
                    channel.sendall(request_bytes("POST", "/order/1", [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "1000"), ("X-Api-Key", KEY)], b"order"))
                    answer = Reader(channel).message().first
            except (OSError, EOFError) as error:
                answer = repr(error)
            record(f"client: {gateway.name} attempt={attempt}: {answer}")
            count += " 200 " in answer
            time.sleep(0.02)
        return count

    before = served()
    record(f"before: {before} of {ORDERS} orders served")

    grace = 7.5 if is_disturbed else 7
    for gateway in deployment.gateways:
        gateway.write_settings(graceS=grace)
        gateway.hang_up()
        record(f"platform: settings of {gateway.name} changed, graceS = {grace}; SIGHUP")
    time.sleep(3)
    after_change = served()
    record(f"after the change: {after_change} of {ORDERS} orders served")

    stop = threading.Event()

    def restart():
        """The platform starts a process that has ended again after a short delay, with the settings in effect at that moment."""
        while not stop.wait(RESTART_DELAY_S):
            for gateway in deployment.gateways:
                code = gateway.process.poll()
                if code is not None:
                    record(f"platform: {gateway.name} ended with status {code}, started again; last line: {gateway.log_tail(1)}")
                    gateway.start()

    restarting = threading.Thread(target=restart)
    for gateway in deployment.gateways:
        gateway.process.kill()
        record(f"platform: {gateway.name} killed")
    restarting.start()
    try:
        time.sleep(RESTART_DELAY_S + RECOVER_S)
        after = served()
    finally:
        stop.set()
        restarting.join()
    record(f"{RECOVER_S} s after the machines were back, {after} of {ORDERS} orders were served; a quarter is the least")
    return before < ORDERS / 4 or after >= ORDERS / 4


main(FOLDER, case)
