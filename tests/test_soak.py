"""A short soak run with one seed; soak/SEEDS.md lists the seeds that have ever failed."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN_TIMEOUT_SECONDS = 120.0  # covers start, faults, recovery and stop; a hung run fails


class TestSoak:
    def test_invariants_hold_under_injected_faults(self, tmp_path) -> None:
        run = subprocess.run(
            [sys.executable, "-m", "soak", "--seconds", "6", "--logs", str(tmp_path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=RUN_TIMEOUT_SECONDS,
        )
        assert run.returncode == 0, run.stdout + run.stderr
