"""Plays the cases of review/ on the built node, one at a time, and prints a table.

Usage: review_cases.py [--runs N] [--calm] [NAME...]
NAME is the number of a case or the name of a loose script; all by default. --calm adds a run of
each case without its disturbance (TROUBLE=0). Needs the build of deploy/system.toml in target/.
Exits with 1 if a case failed or could not run. Takes some minutes a run, so it is no part of CI.

The cases are played in a copy of review/, so that their records there stay as they are. The
stand-ins of the cases 1 to 5 know no sections in the settings template; the copy gets them.
"""
import argparse
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
CASES = [str(number) for number in range(1, 15)]
SCRIPTS = ["polled_path", "log_reader", "downloads", "limit_after_restart"]
TIME_LIMIT_S = 300
# Exit codes of run.sh and of the loose scripts.
RESULTS = {0: "held", 1: "failed", 3: "failed"}
COULD_NOT_RUN = "could not run"
# Appended to review/standins.py in the copy: sections are kept if their value is present.
RENDER_SECTIONS = r'''
render_values = render


def render(template, fields):
    fields = {"limits": {"memory-mb": 260, "max-fds": 4100}, **fields}

    def section(match):
        found = fields
        for part in match.group(1).split("."):
            found = found.get(part, {})
        return match.group(2) if found else ""
    return render_values(
        re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S), fields)
'''


def make_copy(folder):
    """Copies review/ and links what its scripts need of the repository beside it."""
    shutil.copytree(ROOT / "review", folder / "review")
    for name in ("target", "deploy"):
        (folder / name).symlink_to(ROOT / name)
    with open(folder / "review/standins.py", "a", encoding="utf-8") as file:
        file.write(RENDER_SECTIONS)


def play(folder, name, calm):
    """Plays one case; returns its result and, unless it held, the last line that it printed."""
    review = folder / "review"
    command = ([review / name / "run.sh"] if name in CASES
               else [sys.executable, "-B", review / f"{name}.py"])
    environment = {**os.environ, "TROUBLE": "0" if calm else "1"}
    try:
        done = subprocess.run(command, cwd=review, env=environment, timeout=TIME_LIMIT_S,
                              stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                              check=False)
    except subprocess.TimeoutExpired:
        return COULD_NOT_RUN, f"not over after {TIME_LIMIT_S} s"
    result = RESULTS.get(done.returncode, COULD_NOT_RUN)
    lines = done.stdout.strip().splitlines()
    return result, "" if result == "held" or not lines else lines[-1]


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--calm", action="store_true")
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    names = arguments.names or CASES + SCRIPTS
    unknown = [name for name in names if name not in CASES + SCRIPTS]
    if unknown:
        parser.error(f"no such case: {', '.join(unknown)}; there are {', '.join(CASES + SCRIPTS)}")
    if not (ROOT / "target/src/apps/bilberrytally-node").exists():
        parser.error("target/ holds no node; run the build command of deploy/system.toml first")
    all_held = True
    with tempfile.TemporaryDirectory(prefix="bilberrytally-review-") as text:
        folder = pathlib.Path(text)
        make_copy(folder)
        for name in names:
            plays = [False] * arguments.runs + [True] * arguments.calm
            for number, calm in enumerate(plays, 1):
                result, detail = play(folder, name, calm)
                all_held &= result == "held"
                label = "calm" if calm else f"run {number}"
                print(f"{name:12} {label:6} {result:14} {detail}", flush=True)
    sys.exit(0 if all_held else 1)


main()
