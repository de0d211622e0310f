import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from deployment import KEYS, Reader, Server, attempt_id, main, request_bytes, response, send_stream, whole

KEY = KEYS["huka270"]
WORK_S = 0.2
KEPT_CHANNELS = 8
STREAMS = 5

# The caller's line: 100 Mbit/s, a tenth of a machine's link.
BYTES_PER_S = 12.5e6


def case(deployment, record, is_disturbed):
    def stream(channel, request):
        if not is_disturbed:
            send_stream(channel, request, [f"token {number}" for number in range(1, 7)])
            return True
        channel.sendall(response(200, Server.answer_headers(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]))
        event = b"id: 1\ndata: token 1\n\n"
        channel.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        garbage = (b"data: " + b"~" * 58 + b"\n\n") * 900
        chunk = b"%x\r\n%s\r\n" % (len(garbage), garbage)
        sent = 0
        try:
            while True:
                channel.sendall(chunk)
                sent += len(chunk)
        except OSError:
            record(f"server: the gateway closed the channel after {sent} bytes without end")
        raise EOFError

    def work(channel, request):
        # A sound server with the work of the largest order.
        time.sleep(WORK_S)
        channel.sendall(whole(200, Server.answer_headers(request), b"done"))
        return True

    for zone in ("plv-a", "plv-b"):
        Server(deployment.store, record, "lm-pool", zone, behave=stream)
        Server(deployment.store, record, "shop-app", zone, behave=work)
    deployment.start_gateways()
    gateway = deployment.gateways[0]
    stop = threading.Event()
    lost = []

    def order():
        """Orders one after the other on a kept channel, until that is closed."""
        with gateway.connect() as channel:
            channel.settimeout(3)
            reader = Reader(channel)
            answered = 0
            while not stop.is_set():
                attempt = attempt_id()
                try:
                    channel.sendall(request_bytes("POST", "/order/1", [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "1000"), ("X-Api-Key", KEY)], b"order"))
                    reader.message()
                    answered += 1
                except (OSError, EOFError) as error:
                    lost.append(attempt)
                    record(f"client: POST /order/1 attempt={attempt}, after {answered} answers on this channel: closed without an answer ({error!r})")
                    return

    def read_slowly(channel):
        """Reads at the rate of the caller's line; returns the number of bytes before the end."""
        size = 0
        started = time.monotonic()
        while part := channel.recv(16384):
            size += len(part)
            if part.endswith(b"0\r\n\r\n"):
                break
            time.sleep(max(0.0, started + size / BYTES_PER_S - time.monotonic()))
        return size

    orders = [threading.Thread(target=order) for _ in range(KEPT_CHANNELS)]
    for thread in orders:
        thread.start()
    time.sleep(0.5)
    for _ in range(STREAMS):
        attempt = attempt_id()
        record(f"client: POST /verdict/1 attempt={attempt}")
        with gateway.connect() as channel:
            channel.settimeout(9)
            channel.sendall(request_bytes("POST", "/verdict/1", [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "8000"), ("X-Api-Key", KEY)], b"prompt"))
            try:
                record(f"client: attempt={attempt}: {read_slowly(channel)} bytes, then the end")
            except OSError as error:
                record(f"client: attempt={attempt}: {error!r}")
        time.sleep(0.3)
        if gateway.process.poll() is not None:
            break
    time.sleep(0.5)
    stop.set()
    for thread in orders:
        thread.join()
    code = gateway.process.poll()
    record(f"gateway {gateway.name}: {'running' if code is None else f'ended by itself, exit status {code}'}")
    record(f"{len(lost)} requests passed on to sound servers from kept channels that were closed without an answer; the rule allows 3")
    for line in gateway.log_tail(1):
        record("last line of its log: " + line)
    return code is None and len(lost) <= 3


main(FOLDER, case)
