"""Shows that the tests can fail: takes out one mechanism at a time on a scratch
copy, builds it, and runs the test that must notice. Prints a table.

Usage: mutate.py [NAME...]
"""
import json
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent


def run(command, folder, **environment):
    return subprocess.run(command, cwd=folder, capture_output=True, text=True,
                          env={**os.environ, **environment}, check=False)


def main():
    rows = json.loads((ROOT / "tests/mutations.json").read_text())
    chosen = [r for r in rows if not sys.argv[1:] or r["name"] in sys.argv[1:]]
    survived = 0
    with tempfile.TemporaryDirectory() as scratch:
        tree = pathlib.Path(scratch) / "tree"
        shutil.copytree(ROOT, tree, ignore=shutil.ignore_patterns("build*", ".git"))
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja"], tree)
        for row in chosen:
            file = tree / row["file"]
            text = file.read_text()
            # Line breaks are the formatter's business.
            pattern = r"\s+".join(re.escape(word) for word in row["from"].split())
            if not re.search(pattern, text):
                print(f"{row['name']}: the mechanism's text is gone from {row['file']}")
                survived += 1
                continue
            file.write_text(re.sub(pattern, lambda _: row["to"], text, count=1))
            built = run(["ninja", "-C", "build"], tree)
            tested = run(["ctest", "--test-dir", "build", "-R", f"^{row['test']}$", "--timeout", "200"], tree,
                         PYTHONWARNINGS="ignore")
            file.write_text(text)
            noticed = built.returncode == 0 and tested.returncode != 0
            survived += not noticed
            word = "noticed" if noticed else "NOT BUILT" if built.returncode else "SURVIVED"
            print(f"{row['name']}: {row['test']}: {word}", flush=True)
    sys.exit(1 if survived else 0)


main()
