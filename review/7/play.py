"""A node that is being restarted gets SIGTERM again, as its server ends; see claim.txt."""
import pathlib
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from deployment import (read_answer, route, run_case, send_request,  # noqa: E402
                        troubled)

FOLDER = pathlib.Path(__file__).resolve().parent
CLIENTS, WORK_MS, DEADLINE_MS = 10, 1000, 5000
DRAIN_S, RESTART_BEFORE_S = 2, 0.8
GRACE_S = 6


class Client:
    """Sends one request after the other on a connection that it keeps, until it is told to stop or
    the node takes no more connections."""

    def __init__(self, deployment, machine, number, over):
        self.deployment, self.machine, self.number, self.over = deployment, machine, number, over
        self.lost, self.answered = [], 0
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        connection = None
        count = 0
        while not self.over.is_set():
            try:
                if connection is None:
                    connection = socket.create_connection(
                        (self.machine.ip, self.deployment.ports["outbound"]), 1)
                    connection.settimeout(DEADLINE_MS / 1000 + 1)
            except OSError:
                return
            count += 1
            request = f"ack-{self.number}-{count}"
            status, headers = self.send(connection, request)
            if status == 0 or headers.get("connection") == "close":
                connection.close()
                connection = None
        if connection:
            connection.close()

    def send(self, connection, request):
        try:
            send_request(connection, "POST", f"/ack/1?ms={WORK_MS}", request, DEADLINE_MS, b"x")
            self.deployment.record.add(f"client sent {request}")
            status, headers, _ = read_answer(connection)
        except OSError:
            status, headers = 0, {}
        self.deployment.record.add(f"client gets {request}: {status or 'no answer'}")
        if status == 0:
            self.lost.append(request)
        self.answered += status != 0
        return status, headers


def play(deployment):
    desk, ledger = deployment.machines[0], deployment.machines[1]
    deployment.configure([route("/ack/", "ledger", "non_idempotent")])
    deployment.start()
    over = threading.Event()
    clients = [Client(deployment, desk, i, over) for i in range(CLIENTS)]
    time.sleep(1.25)
    deployment.register(desk, "draining")
    deployment.record.add(f"store acknowledges that {desk.instance} is draining")
    time.sleep(DRAIN_S + 0.5 - RESTART_BEFORE_S)
    if troubled():
        desk.signal(signal.SIGTERM)  # the node is stopped on its own, to be started again
    time.sleep(RESTART_BEFORE_S)
    desk.target.listener.close()
    deployment.store.remove(f"servers/{desk.instance}")
    deployment.record.add(f"the server {desk.instance} has ended, its entry is removed")
    if desk.process.poll() is None:
        desk.signal(signal.SIGTERM)
    # The clients hear of two misses of the readiness check, one a second.
    time.sleep(2)
    over.set()
    for client in clients:
        client.thread.join()
    try:
        desk.process.wait(GRACE_S)
    except Exception:
        desk.signal(signal.SIGKILL)
    run = {request for _, request, _, _ in ledger.target.runs}
    lost = [request for client in clients for request in client.lost if request in run]
    answered = sum(client.answered for client in clients)
    deployment.record.add(f"requests that were passed on and ended without an answer: {len(lost)}; "
                          f"answered: {answered}")
    if answered < CLIENTS:
        return None
    return bool(lost)


sys.exit(run_case(FOLDER, [("desk", "a"), ("ledger", "a"), ("desk", "a")], play))
