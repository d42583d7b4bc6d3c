"""History runs under fixed seeds, and the judge's own tests."""

import dataclasses
from pathlib import Path

import pytest
from callers import expected_chat
from history import (
    ANSWER_TOKENS,
    ChatReply,
    History,
    LayerRun,
    OperationReply,
    ServiceExecution,
    judge,
    run_history,
)

RUN = LayerRun("r", 1, 0, 3)
EXECUTION = ServiceExecution("k", "q1", "b")
ANSWER = expected_chat("p", ANSWER_TOKENS)


class TestRuns:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_no_promise_is_broken(self, seed: int, tmp_path: Path) -> None:
        history = run_history(seed, 2, tmp_path)
        assert judge(history) == []
        assert sum(reply.status == 200 for reply in history.operations) > 20
        assert any(chat.complete for chat in history.chats)


class TestJudge:
    GOOD = History(
        operations=[
            OperationReply("k", "q1", 200, "", "b"),
            OperationReply("k", "q2", 409, "unknown", ""),
            OperationReply("k", "q3", 503, "no", ""),
        ],
        executions=[EXECUTION],
        chats=[
            ChatReply("p", ANSWER, True, False),
            ChatReply("p", ANSWER[:9], False, False),
        ],
        layer_runs=[RUN, dataclasses.replace(RUN, attempt=2)],
        releases_by_life={"a/1": [1, 1, 3], "a/2": [1]},
    )

    def test_good_history_passes(self) -> None:
        assert judge(self.GOOD) == []

    @pytest.mark.parametrize(
        "change",
        [
            {"executions": [EXECUTION, EXECUTION]},
            {"executions": [ServiceExecution("k", "q3", "b")]},
            {"operations": [OperationReply("k", "q1", 200, "", "another answer")]},
            {"operations": [OperationReply("other", "q1", 200, "", "b")]},
            {"chats": [ChatReply("p", ANSWER[:9], True, False)]},
            {"chats": [ChatReply("p", "w1 ", False, False)]},
            {"layer_runs": [RUN, RUN]},
            {"releases_by_life": {"a/1": [3, 2]}},
        ],
    )
    def test_each_violation_is_found(self, change: dict[str, object]) -> None:
        assert judge(dataclasses.replace(self.GOOD, **change))
