"""Checks the specifications with Spin: the true ones hold, each mutant has a counter-example."""

import re
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).parent
MAX_DEPTH = 2_000_000
MEMORY_MB = 6000
GUARD = re.compile(r"^ \*   ([A-Z_]+) {2,}", re.MULTILINE)
STATES = re.compile(r"([0-9.e+]+) states, stored")
ERRORS = re.compile(r"errors: (\d+)")


def run(spec: Path, guard: str) -> tuple[int, str, bool]:
    """Return the errors, the states and whether the search was complete."""
    with tempfile.TemporaryDirectory() as folder:
        defines = [f"-D{guard}"] if guard else []
        subprocess.run(["spin", "-a", *defines, str(spec)], cwd=folder, check=True)
        options = ["-O2", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_MB}"]
        subprocess.run(["gcc", *options, "-w", "-o", "pan", "pan.c"], cwd=folder, check=True)
        command = ["./pan", f"-m{MAX_DEPTH}", "-E"]
        result = subprocess.run(command, cwd=folder, capture_output=True, text=True)
    errors, states = ERRORS.search(result.stdout), STATES.search(result.stdout)
    if errors is None or states is None:
        raise SystemExit(f"{spec.name} {guard}: no verdict\n{result.stdout}{result.stderr}")
    complete = "depth reached" not in result.stdout.split("State-vector")[0]
    complete = complete and "Search not completed" not in result.stdout
    return int(errors.group(1)), states.group(1), complete


def main() -> int:
    """Check every specification and every mutant."""
    if shutil.which("spin") is None:
        print("spin is not installed; install Debian's package spin", file=sys.stderr)
        return 1
    good = True
    for spec in sorted(HERE.glob("*.pml")):
        errors, states, complete = run(spec, "")
        holds = errors == 0 and complete
        good = good and holds
        print(f"{spec.name}: {'holds' if holds else 'FAILS'}, {states} states, complete {complete}")
        for guard in GUARD.findall(spec.read_text()):
            errors, states, _ = run(spec, guard)
            good = good and errors > 0
            verdict = "counter-example" if errors else "NO COUNTER-EXAMPLE"
            print(f"{spec.name} without its guard {guard}: {verdict} after {states} states")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
