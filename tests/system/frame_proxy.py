"""A proxy between nodes that delays, duplicates, reorders and truncates frames.

The frames' content cannot be changed without the fleet's key, but a network can still
do any of these.
"""
import random
import socket
import struct
import threading
import time

HEADER_BYTES = 72
ANSWER = 3


class FrameProxy:
    """Listens in place of one node: the instance list gives the proxy's port as the node's."""

    def __init__(self, node_port, seed):
        self.node_port, self.random = node_port, random.Random(seed)
        # Shares of the frames, as probabilities per frame.
        self.duplicate_share = self.reorder_share = self.truncate_share = self.delay_share = 0.0
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self):
        while True:
            try:
                client, _ = self.listener.accept()
                server = socket.create_connection(("127.0.0.1", self.node_port))
            except OSError:
                return
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self.forward, args=(source, sink), daemon=True).start()

    @staticmethod
    def read_frame(source):
        def read_exactly(count):
            data = b""
            while len(data) < count:
                chunk = source.recv(count - len(data))
                if not chunk:
                    raise OSError("closed")
                data += chunk
            return data
        header = read_exactly(HEADER_BYTES)  # the body's length in bytes is at offset 8
        return header + read_exactly(struct.unpack_from("<I", header, 8)[0])

    def forward(self, source, sink):
        held_back = None
        try:
            first = True
            while True:
                frame = self.read_frame(source)
                if first:  # the hello frame passes unchanged
                    first = False
                    sink.sendall(frame)
                    continue
                if self.random.random() < self.truncate_share:
                    sink.sendall(frame[:len(frame) // 2])
                    break
                if self.random.random() < self.delay_share:
                    time.sleep(0.15)
                if held_back is None and self.random.random() < self.reorder_share:
                    held_back = frame  # sent after the next frame
                    continue
                sink.sendall(frame * 2 if self.random.random() < self.duplicate_share else frame)
                if held_back is not None:
                    sink.sendall(held_back)
                    held_back = None
        except OSError:
            pass
        for connection in (source, sink):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def close(self):
        self.listener.close()
