"""Stand-in for the platform's configuration service: reads and watches over HTTP.

GET /v1/changes?since=INDEX&wait_ms=MS returns {"index": N, "documents": [...]}: the
documents after INDEX. If there are none, it waits for one, for MS milliseconds at most.
Runs within a test, or as a process (platform_standin.py PORT) that prints its port and
publishes each line of its standard input as a document.
"""
import http.server
import json
import sys
import threading
import time
import urllib.parse


class ConfigurationService:
    """Serves documents in the order of their publication; can be told to fail."""

    def __init__(self, port=0):
        self.documents = []
        self.mode = "ok"  # ok, down, garbage, half (a truncated body), hang
        self.visible_count = None  # a stale service shows only this many documents
        self.reads = []  # monotonic time of each read, in s
        self.changed = threading.Condition()
        platform = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                platform.respond(self)

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass  # ignored: a killed node closes its connection during a watch

        self.server = Server(("127.0.0.1", port), Handler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def publish(self, document):
        text = document if isinstance(document, str) else json.dumps(document)
        with self.changed:
            self.documents.append(text)
            self.changed.notify_all()

    def set_mode(self, mode, visible_count=None):
        with self.changed:
            self.mode = mode
            self.visible_count = visible_count
            self.changed.notify_all()

    def visible(self):
        return self.documents if self.visible_count is None else self.documents[:self.visible_count]

    def respond(self, handler):
        query = urllib.parse.parse_qs(urllib.parse.urlparse(handler.path).query)
        since = int(query.get("since", ["0"])[0])
        wait = int(query.get("wait_ms", ["0"])[0]) / 1000
        with self.changed:
            self.reads.append(time.monotonic())
            if self.mode == "ok" and since == len(self.visible()):
                self.changed.wait(wait)
            mode, documents = self.mode, list(self.visible())
        if mode == "down":
            handler.close_connection = True
            handler.connection.close()
            return
        if mode == "hang":
            time.sleep(5)
        # A service whose index went back returns all its documents.
        new_documents = documents[since:] if since <= len(documents) else documents
        body = json.dumps({"index": len(documents), "documents": new_documents}).encode()
        if mode == "garbage":
            body = b'{"index": "x", "documents": 7}'
        handler.send_response(200)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body[:len(body) // 2] if mode == "half" else body)
        if mode == "half":
            handler.close_connection = True

    def close(self):
        self.server.shutdown()
        self.server.server_close()


if __name__ == "__main__":
    standin = ConfigurationService(int(sys.argv[1]))
    print(standin.port, flush=True)
    for line in sys.stdin:
        standin.publish(line.strip())
    threading.Event().wait()
