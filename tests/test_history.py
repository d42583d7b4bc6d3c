"""Runs under seeded faults cause no violation, and the checker finds each kind of violation."""

import dataclasses
from pathlib import Path

import pytest
from client_helpers import expected_chat_text
from history import (
    ANSWER_TOKENS,
    ChatResponse,
    History,
    LayerRun,
    OperationResponse,
    ServiceExecution,
    find_violations,
    run_history,
)

LAYER_RUN = LayerRun("r", 1, 0, 3)
EXECUTION = ServiceExecution("k", "q1", "b")
EXPECTED_TEXT = expected_chat_text("p", ANSWER_TOKENS)


class TestHistoryRuns:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_faults_cause_no_violation(self, seed: int, tmp_path: Path) -> None:
        history = run_history(seed, 2, tmp_path)
        assert find_violations(history) == []
        assert sum(response.status == 200 for response in history.operation_responses) > 20
        assert any(chat.complete for chat in history.chat_responses)


class TestFindViolations:
    VALID_HISTORY = History(
        operation_responses=[
            OperationResponse("k", "q1", 200, "", "b"),
            OperationResponse("k", "q2", 409, "unknown", ""),
            OperationResponse("k", "q3", 503, "no", ""),
        ],
        service_executions=[EXECUTION],
        chat_responses=[
            ChatResponse("p", EXPECTED_TEXT, True, False),
            ChatResponse("p", EXPECTED_TEXT[:9], False, False),
        ],
        layer_runs=[LAYER_RUN, dataclasses.replace(LAYER_RUN, attempt=2)],
        releases_by_process={"a/1": [1, 1, 3], "a/2": [1]},
    )

    def test_valid_history_has_no_violation(self) -> None:
        assert find_violations(self.VALID_HISTORY) == []

    @pytest.mark.parametrize(
        "change",
        [
            {"service_executions": [EXECUTION, EXECUTION]},
            {"service_executions": [ServiceExecution("k", "q3", "b")]},
            {"operation_responses": [OperationResponse("k", "q1", 200, "", "another answer")]},
            {"operation_responses": [OperationResponse("other", "q1", 200, "", "b")]},
            {"chat_responses": [ChatResponse("p", EXPECTED_TEXT[:9], True, False)]},
            {"chat_responses": [ChatResponse("p", "w1 ", False, False)]},
            {"layer_runs": [LAYER_RUN, LAYER_RUN]},
            {"releases_by_process": {"a/1": [3, 2]}},
        ],
    )
    def test_each_kind_of_violation_is_found(self, change: dict[str, object]) -> None:
        assert find_violations(dataclasses.replace(self.VALID_HISTORY, **change))
