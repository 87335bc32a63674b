"""
Runs the behave features and prints the scenario counts on the last line.

A scenario listed in ``KNOWN-RED.txt`` may fail: it is printed and not counted as
failed. A listed scenario that passes fails the run, so that the list stays current,
unless its line begins with ``at times:``.
"""

import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")
HASH_SEED = "0"


def read_known_failures(prefix: str = "scenario: ") -> set[str]:
    """Return the scenario names in the lines that begin with a prefix."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[len(prefix) :].strip() for line in lines if line.startswith(prefix)}


def run_behave(arguments: list[str]) -> tuple[int, list[dict]]:
    """Run behave and return its exit code and the features in its JSON report."""
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color"]
        command += ["--format", "json", "--outfile", str(report)]
        command += ["--format", "progress"]
        environment = {**os.environ, "PYTHONHASHSEED": HASH_SEED}
        code = subprocess.run(command + arguments, env=environment).returncode
        features = json.loads(report.read_text() or "[]") if report.exists() else []
        return code, features


def scenario_statuses(features: list[dict]) -> dict[str, str]:
    """Return the status of each scenario by name."""
    elements = [e for f in features for e in f.get("elements", [])]
    scenarios = [e for e in elements if e.get("type") != "background"]
    return {e["name"].strip(): e.get("status", "failed") for e in scenarios}


def failure_messages(features: list[dict]) -> dict[str, str]:
    """Return the failed step and its error message by scenario name."""
    message_by_name = {}
    for scenario in (e for f in features for e in f.get("elements", [])):
        for step in scenario.get("steps", []):
            result = step.get("result", {})
            if result.get("status") not in (None, "passed", "skipped", "untested"):
                message = result.get("error_message", "")
                lines = [message] if isinstance(message, str) else message
                details = f"{step['keyword']} {step['name']}\n" + "\n".join(lines)
                message_by_name[scenario["name"].strip()] = details
    return message_by_name


def main() -> int:
    """Run the features, compare with the known failures, and print counts."""
    code, features = run_behave(sys.argv[1:])
    by_name = scenario_statuses(features)
    always = read_known_failures()
    known = always | read_known_failures("at times: ")
    ran = {name: status for name, status in by_name.items() if status != "skipped"}
    failed = {name for name, status in ran.items() if status != "passed"}
    fixed = {name for name in always & ran.keys() if ran[name] == "passed"}
    for name, message in failure_messages(features).items():
        print(f"{name}: {message}")
    for name in sorted(failed & known):
        print(f"known red: {name}")
    for name in sorted(failed - known):
        print(f"failed: {name}")
    for name in sorted(fixed):
        print(f"passes but is listed in {KNOWN_RED}: {name}")
    failed_outside_scenario = code != 0 and not failed
    if failed_outside_scenario:
        print(f"behave ended with {code} outside a scenario")
    failure_count = len(failed - known) + len(fixed) + int(failed_outside_scenario)
    passed = len(ran) - len(failed) - len(fixed)
    print(f"{passed} passed, {failure_count} failed")
    return 1 if failure_count or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
