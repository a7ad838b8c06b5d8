"""A proxy between nodes that delays, doubles, swaps and cuts whole frames.

Frames can't be changed without the fleet's key; a network can still do these.
"""
import random
import socket
import struct
import threading
import time

HEADER = 72
ANSWER = 3


class FrameProxy:
    """Listens for one node; the instance list names the proxy's port for it."""

    def __init__(self, node_port, seed):
        self.node_port, self.random = node_port, random.Random(seed)
        self.double = self.swap = self.cut = self.delay = 0.0  # chance per frame
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
                far = socket.create_connection(("127.0.0.1", self.node_port))
            except OSError:
                return
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self.pump, args=(source, sink), daemon=True).start()

    @staticmethod
    def read_frame(source):
        def exactly(count):
            data = b""
            while len(data) < count:
                part = source.recv(count - len(data))
                if not part:
                    raise OSError("closed")
                data += part
            return data
        head = exactly(HEADER)
        return head + exactly(struct.unpack_from("<I", head, 8)[0])

    def pump(self, source, sink):
        held = None
        try:
            first = True
            while True:
                frame = self.read_frame(source)
                if first:  # the hello passes
                    first = False
                    sink.sendall(frame)
                    continue
                if self.random.random() < self.cut:
                    sink.sendall(frame[:len(frame) // 2])
                    break
                if self.random.random() < self.delay:
                    time.sleep(0.15)
                if held is None and self.random.random() < self.swap:
                    held = frame
                    continue
                sink.sendall(frame * 2 if self.random.random() < self.double else frame)
                if held is not None:
                    sink.sendall(held)
                    held = None
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.listener.close()
