import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from deployment import KEYS, Reader, Server, attempt_id, main, request_bytes, response

KEY = KEYS["huka270"]
CHANNELS = 15
ALLOWED = 3
PIECES = 6


def case(deployment, record, is_disturbed):
    def stream(channel, request):
        # A sound server: every piece of the stream from Last-Event-Id on, and a proper end.
        first = int(request.get("Last-Event-Id") or 0) + 1
        answer = response(200, Server.answer_headers(request) + [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])
        for number in range(first, PIECES + 1):
            text = "[DONE]" if is_disturbed and request.body == b"how does a stream end" and number == 3 else f"token {number}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            answer += b"%x\r\n%s\r\n" % (len(event), event)
        channel.sendall(answer + b"0\r\n\r\n")
        record(f"server: attempt={request.get('X-Attempt-Id')}: pieces {first} to {PIECES} and the end of the stream sent")
        return True

    for zone in ("plv-a", "plv-b"):
        Server(deployment.store, record, "lm-pool", zone, behave=stream)
    deployment.start_gateways()
    lost = {gateway.name: 0 for gateway in deployment.gateways}
    for number in range(CHANNELS):
        gateway = deployment.gateways[number % len(deployment.gateways)]
        with gateway.connect() as channel:
            channel.settimeout(8)
            reader = Reader(channel)
            for prompt in (b"first question", b"how does a stream end"):
                attempt = attempt_id()
                channel.sendall(request_bytes("POST", "/chat/1", [("X-Attempt-Id", attempt), ("X-Deadline-Ms", "4000"), ("X-Api-Key", KEY)], prompt))
                text, head, end = b"", "no answer", "complete"
                try:
                    head = reader.head().first
                    while part := reader.chunk():
                        text += part
                except (OSError, EOFError, ValueError) as error:
                    end = f"channel closed ({type(error).__name__})"
                record(f"client: {gateway.name} POST /chat/1 {prompt.decode()!r} attempt={attempt}: {head}, {text.count(b'data: ')} of {PIECES} pieces, {end}")
                lost[gateway.name] += end != "complete"
    record(f"requests from kept channels that were passed on to sound servers, answered whole by these, and their channels closed without the answer: {lost};"
           f" the rule allows {ALLOWED}")
    return max(lost.values()) <= ALLOWED


main(FOLDER, case)
