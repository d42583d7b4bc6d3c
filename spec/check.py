"""Checks the specifications with Spin: each must hold, and fail without any one of its guards."""

import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

SPEC_DIRECTORY = Path(__file__).parent
MAX_DEPTH = 2_000_000
MEMORY_LIMIT_MB = 6000
MUTANT_PATTERN = re.compile(r"^ \*   ([A-Z_]+) {2,}", re.MULTILINE)
STATES_PATTERN = re.compile(r"([0-9.e+]+) states, stored")
ERRORS_PATTERN = re.compile(r"errors: (\d+)")


def run_spin(spec: Path, mutant: str) -> tuple[int, str, bool]:
    """Search the state space of a specification, or of a mutant if its macro is given.

    Return the number of errors, the number of stored states as Spin prints it, and whether the
    search was complete.
    """
    with tempfile.TemporaryDirectory() as folder:
        macro_options = [f"-D{mutant}"] if mutant else []
        subprocess.run(["spin", "-a", *macro_options, str(spec)], cwd=folder, check=True)
        compiler_options = ["-O2", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_LIMIT_MB}"]
        subprocess.run(
            ["gcc", *compiler_options, "-w", "-o", "pan", "pan.c"], cwd=folder, check=True
        )
        command = ["./pan", f"-m{MAX_DEPTH}", "-E"]
        result = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    errors, states = ERRORS_PATTERN.search(result.stdout), STATES_PATTERN.search(result.stdout)
    if errors is None or states is None:
        raise SystemExit(
            f"{spec.name} {mutant}: Spin printed no result\n{result.stdout}{result.stderr}"
        )
    complete = "depth reached" not in result.stdout.split("State-vector")[0]
    complete = complete and "Search not completed" not in result.stdout
    return int(errors.group(1)), states.group(1), complete


def main() -> int:
    """Check every specification, with all its guards and without each of them in turn."""
    if shutil.which("spin") is None:
        print("spin not found on the PATH; install the Debian package spin", file=sys.stderr)
        return 1
    passed = True
    for spec in sorted(SPEC_DIRECTORY.glob("*.pml")):
        errors, states, complete = run_spin(spec, "")
        holds = errors == 0 and complete
        passed = passed and holds
        print(f"{spec.name}: {'holds' if holds else 'FAILS'}, {states} states, complete {complete}")
        for mutant in MUTANT_PATTERN.findall(spec.read_text()):
            errors, states, _ = run_spin(spec, mutant)
            passed = passed and errors > 0
            verdict = "counter-example" if errors else "NO COUNTER-EXAMPLE"
            print(f"{spec.name} without its guard {mutant}: {verdict} after {states} states")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
