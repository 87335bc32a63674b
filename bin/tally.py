"""
Runs the behave features and closes with one line that counts scenarios.

A scenario that ``KNOWN-RED.txt`` lists may fail: it is printed and counted
apart. A listed scenario that passes fails the run, so that the list stays true.
"""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")
HASH_SEED = "0"


def known_red() -> set[str]:
    """Return the scenario names at the start of each ``scenario:`` line."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    prefix = "scenario: "
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def run_behave(arguments: list[str]) -> tuple[int, list[dict]]:
    """Run behave and return its exit code with the features it reports."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["--format", "json", "--outfile", str(report)]
        command += ["--format", "progress"]
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        code = subprocess.run(command + arguments, env=environment).returncode
        features = json.loads(report.read_text() or "[]") if report.exists() else []
        return code, features


def statuses(features: list[dict]) -> dict[str, str]:
    """Return the status of each scenario by its name."""
    elements = [e for f in features for e in f.get("elements", [])]
    scenarios = [e for e in elements if e.get("type") != "background"]
    return {e["name"].strip(): e.get("status", "failed") for e in scenarios}


def failures(features: list[dict]) -> dict[str, str]:
    """Return what the failed step of each scenario saw, by the scenario's name."""
    seen_by_name = {}
    for scenario in (e for f in features for e in f.get("elements", [])):
        for step in scenario.get("steps", []):
            result = step.get("result", {})
            if result.get("status") not in (None, "passed", "skipped", "untested"):
                message = result.get("error_message", "")
                lines = [message] if isinstance(message, str) else message
                text = f"{step['keyword']} {step['name']}\n" + "\n".join(lines)
                seen_by_name[scenario["name"].strip()] = text
    return seen_by_name


def main() -> int:
    """Run, compare with the known failures, and print the closing line."""
    code, features = run_behave(sys.argv[1:])
    by_name = statuses(features)
    red = known_red()
    ran = {name: status for name, status in by_name.items() if status != "skipped"}
    failed = {name for name, status in ran.items() if status != "passed"}
    mended = {name for name in red & ran.keys() if ran[name] == "passed"}
    for name, seen in failures(features).items():
        print(f"{name}: {seen}")
    for name in sorted(failed & red):
        print(f"known red: {name}")
    for name in sorted(failed - red):
        print(f"failed: {name}")
    for name in sorted(mended):
        print(f"passes but is listed in {KNOWN_RED}: {name}")
    broken = code != 0 and not failed
    if broken:
        print(f"behave ended with {code} outside a scenario")
    bad = len(failed - red) + len(mended) + int(broken)
    passed = len(ran) - len(failed) - len(mended)
    print(f"{passed} passed, {bad} failed")
    return 1 if bad or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
