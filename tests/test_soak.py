"""A short run of the soak under one seed; soak/SEEDS.md lists those that ever failed."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
RUN_SECONDS = 120.0  # start, faults, recovery and end; a run that hangs is a failure


class TestSoak:
    def test_promises_hold_under_faults(self, tmp_path) -> None:
        run = subprocess.run(
            [sys.executable, "-m", "soak", "--seconds", "6", "--logs", str(tmp_path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=RUN_SECONDS,
        )
        assert run.returncode == 0, run.stdout + run.stderr
