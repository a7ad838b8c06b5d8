"""The process that reads a node's log pauses: does the node go on answering? (No case: see REPORT.md.)"""
import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import standins  # noqa: E402

PAUSE_S = 30
TIMEOUT_S = 2  # the route's timeout-s
CLIENTS = 40  # each second one asks for what takes longer than the timeout, which logs a line
SLACK_S = 0.5


class PipedMachine(standins.Machine):
    """A machine whose node logs into a pipe that a collector process (cat) reads."""

    async def start(self):
        reading, writing = os.pipe()
        log = open(self.site.folder / f"{self.name}.log", "ab")
        self.collector = await asyncio.create_subprocess_exec("cat", stdin=reading, stdout=log)
        os.close(reading)
        log.close()
        await super().start(output=writing)
        os.close(writing)

    async def end(self):
        self.collector.send_signal(signal.SIGCONT)
        await super().end()
        await self.collector.wait()  # it ends with the pipe


async def play(record):
    site = standins.Site(record, [("front", "a", 50), ("ledger", "a", 50), ("ledger", "b", 50)],
                         PipedMachine)
    try:
        return await pause_collector(record, site)
    finally:
        await site.close()


async def pause_collector(record, site):
    await site.open([standins.route("/look/", "ledger", timeout=TIMEOUT_S)])
    front = site.machines[0]
    late = []

    async def client(number):
        connection, i = None, 0
        while True:
            if connection is None or not connection.usable:
                connection = await standins.Connection(record, front.host).open()
            i += 1
            begun = record.now()
            await connection.call(f"req-{number}-{i}", "h.example",
                                  f"/look/{number}-{i}?ms={5000 if number % 2 else 50}", 5000)
            if record.now() - begun > TIMEOUT_S + SLACK_S:
                late.append(begun)
            await asyncio.sleep(0.05)

    clients = [asyncio.create_task(client(i)) for i in range(CLIENTS)]
    await asyncio.sleep(3)
    paused_at = record.now()
    if standins.trouble():
        front.collector.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    if standins.trouble():
        front.collector.send_signal(signal.SIGCONT)
    await asyncio.sleep(5)
    for task in clients:
        task.cancel()
    record.add("summary", late=len(late),
               first_late_sent_after_pause_s=round(min(late) - paused_at, 1) if late else None)
    return not late


standins.run(pathlib.Path(__file__).resolve().parent, play)
