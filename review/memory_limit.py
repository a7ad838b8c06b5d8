"""The platform's memory limit, for the cases that exceed it."""
import pathlib
import signal
import threading
import time

MEMORY_BYTES = 260 << 20  # memory-mb of the machines
RESTART_S = 0.5


class MemoryLimit:
    """The platform kills a process that exceeds its memory and starts it again after a delay."""

    def __init__(self, deployment):
        self.deployment, self.ends, self.peaks = deployment, {}, {}
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        restart_at = {}
        while not self.over.wait(0.005):
            for machine in self.deployment.machines:
                if machine in restart_at:
                    if time.monotonic() >= restart_at[machine]:
                        del restart_at[machine]
                        machine.start()
                    continue
                used = self.resident_bytes(machine.process.pid)
                self.peaks[machine] = max(self.peaks.get(machine, 0), used)
                if used > MEMORY_BYTES:
                    self.deployment.record.add(
                        f"node of {machine.instance} uses {used >> 20} MB: over its memory")
                    machine.signal(signal.SIGKILL)
                    machine.process.wait()
                    self.ends[machine] = self.ends.get(machine, 0) + 1
                    restart_at[machine] = time.monotonic() + RESTART_S

    @staticmethod
    def resident_bytes(pid):
        for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) << 10
        return 0

    def close(self):
        self.over.set()
        self.thread.join()
