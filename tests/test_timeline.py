"""Timeline of one request, built from the daemons' log lines."""

import json
import subprocess
import sys

from ragwortpaddle._timeline import build_timeline


def log_line(second: int, message: str, request: str = "-", **fields: object) -> str:
    record = {"time": f"2026-01-01 00:00:{second:02}", "request": request, "message": message}
    return json.dumps({**record, **fields})


LOG_LINES = [
    "  12.5 entry-1 " + log_line(1, "sent", "a1", endpoint="e1", path=["e1", "e2"]),
    log_line(2, "endpoint gone", endpoint="e2"),
    log_line(2, "endpoint gone", endpoint="e9"),
    "not a log line {",
    log_line(1, "sent", "a2", endpoint="e1"),
    log_line(3, "attempt failed", "a1", endpoint="e2", reason="no progress"),
    log_line(4, "answered", "a1", status=200),
    log_line(5, "endpoint gone", endpoint="e1"),
]


class TestBuildTimeline:
    def test_request_lines_and_state_changes_of_its_endpoints_in_order(self) -> None:
        timeline = build_timeline(LOG_LINES, "a1")
        messages = ["sent", "endpoint gone", "attempt failed", "answered"]
        assert len(timeline) == len(messages)
        assert all(f"{message}: " in text for message, text in zip(messages, timeline, strict=True))
        assert timeline[1].startswith("    ")
        assert "e2" in timeline[1]

    def test_unknown_request_gives_empty_timeline(self) -> None:
        assert build_timeline(LOG_LINES, "a7") == []


class TestExplainFromLogs:
    def run_explain(self, request_id: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "ragwortpaddle", "explain", request_id, "--logs", "-"]
        return subprocess.run(
            command, input="\n".join(LOG_LINES), capture_output=True, text=True, check=False
        )

    def test_dash_reads_standard_input(self) -> None:
        result = self.run_explain("a1")
        assert result.returncode == 0
        assert "attempt failed: endpoint=e2, reason=no progress" in result.stdout

    def test_unknown_request_fails_with_message(self) -> None:
        result = self.run_explain("a7")
        assert result.returncode == 1
        assert "no log line for request a7" in result.stdout
