"""Mutation testing: shows that the tests detect the loss of a mechanism.

Applies each entry of tests/mutations.json, one at a time, to a copy of the project, builds
it and runs the test that must fail. Prints a line for each; exits with 1 if a mutation was
not detected, did not build or no longer matches the code.

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
    failures = 0
    with tempfile.TemporaryDirectory() as scratch:
        copy = pathlib.Path(scratch) / "tree"
        shutil.copytree(ROOT, copy, ignore=shutil.ignore_patterns("build*", ".git"))
        run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja"], copy)
        for row in chosen:
            file = copy / row["file"]
            text = file.read_text()
            # Matches any white space, since clang-format may break the lines elsewhere.
            pattern = r"\s+".join(re.escape(word) for word in row["from"].split())
            if not re.search(pattern, text):
                print(f"{row['name']}: the text to replace was not found in {row['file']}")
                failures += 1
                continue
            file.write_text(re.sub(pattern, lambda _: row["to"], text, count=1))
            built = run(["ninja", "-C", "build"], copy)
            tested = run(["ctest", "--test-dir", "build", "-R", f"^{row['test']}$",
                          "--timeout", "200"], copy, PYTHONWARNINGS="ignore")
            file.write_text(text)
            detected = built.returncode == 0 and tested.returncode != 0
            failures += not detected
            result = "detected" if detected else "NOT BUILT" if built.returncode else "SURVIVED"
            print(f"{row['name']}: {row['test']}: {result}", flush=True)
    sys.exit(1 if failures else 0)


main()
