"""The story of a request from logs."""

import json
import subprocess
import sys

from ragwortpaddle._story import tell_story


def line(second: int, message: str, request: str = "-", **fields: object) -> str:
    record = {"time": f"2026-01-01 00:00:{second:02}", "request": request, "message": message}
    return json.dumps({**record, **fields})


LOG = [
    "  12.5 entry-1 " + line(1, "sent", "a1", endpoint="e1", path=["e1", "e2"]),
    line(2, "endpoint gone", endpoint="e2"),
    line(2, "endpoint gone", endpoint="e9"),
    "not a log line {",
    line(1, "sent", "a2", endpoint="e1"),
    line(3, "attempt failed", "a1", endpoint="e2", reason="no progress"),
    line(4, "answered", "a1", status=200),
    line(5, "endpoint gone", endpoint="e1"),
]


class TestTellStory:
    def test_own_lines_and_what_was_believed_meanwhile(self) -> None:
        story = tell_story(LOG, "a1")
        messages = ["sent", "endpoint gone", "attempt failed", "answered"]
        assert len(story) == len(messages)
        assert all(f"{message}: " in text for message, text in zip(messages, story, strict=True))
        assert story[1].startswith("    ")
        assert "e2" in story[1]

    def test_unknown_request(self) -> None:
        assert tell_story(LOG, "a7") == []


class TestCommand:
    def run(self, request_id: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "ragwortpaddle", "explain", request_id, "--logs", "-"]
        return subprocess.run(
            command, input="\n".join(LOG), capture_output=True, text=True, check=False
        )

    def test_reads_standard_input(self) -> None:
        result = self.run("a1")
        assert result.returncode == 0
        assert "attempt failed: endpoint=e2, reason=no progress" in result.stdout

    def test_says_that_it_knows_nothing(self) -> None:
        result = self.run("a7")
        assert result.returncode == 1
        assert "no line about a7" in result.stdout
