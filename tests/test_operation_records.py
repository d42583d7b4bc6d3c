"""How records of one idempotency key are merged, and which intents are withheld."""

import itertools

import pytest
from ragwortpaddled.protocol import (
    ChangeStatus,
    Completion,
    Intent,
    LostRecord,
    OperationRecord,
    Outcome,
)
from ragwortpaddled.state import Shard, ShardDraft, merge_records, record_after

KEY = "key"
EXPIRES_AT = 1000.0
OUTCOME = Outcome(200, "", "{}")


def make_intent(attempt: str, at: float = 1.0) -> Intent:
    return Intent(KEY, attempt, "digest", at, EXPIRES_AT)


def make_completion(attempt: str, outcome: Outcome | None, at: float = 2.0) -> Completion:
    return Completion(KEY, attempt, "digest", at, EXPIRES_AT, outcome)


def make_draft(record: OperationRecord | None = None) -> ShardDraft:
    draft = Shard().draft(0.0)
    if record is not None:
        draft.recover([record])
    return draft


INTENT_1 = record_after(make_intent("1"))
NOT_RUN_1 = record_after(make_completion("1", None))
DONE_1 = record_after(make_completion("1", OUTCOME))
INTENT_2 = record_after(make_intent("2", 3.0))
NOT_RUN_2 = record_after(make_completion("2", None, 4.0))


class TestMergedRecords:
    @pytest.mark.parametrize(
        ("one", "other", "merged"),
        [
            (INTENT_1, DONE_1, DONE_1),
            (INTENT_1, NOT_RUN_1, NOT_RUN_1),
            (DONE_1, INTENT_2, DONE_1),
            (DONE_1, NOT_RUN_2, DONE_1),
            (INTENT_1, NOT_RUN_2, INTENT_1),
            (NOT_RUN_1, INTENT_2, INTENT_2),
        ],
    )
    def test_record_that_weighs_more_is_kept_in_either_order(
        self, one: OperationRecord, other: OperationRecord, merged: OperationRecord
    ) -> None:
        assert merge_records(one, other) == merged
        assert merge_records(other, one) == merged

    def test_two_attempts_that_may_have_run_leave_the_key_in_doubt(self) -> None:
        """A completion without an outcome must not free the key of the other attempt."""
        for one, other in itertools.permutations((INTENT_1, INTENT_2)):
            draft = make_draft(merge_records(one, other))
            for attempt in ("1", "2"):
                draft.apply(make_completion(attempt, None))
                assert draft.apply(make_intent("3")).verdict is ChangeStatus.IN_DOUBT
            draft.apply(make_completion("1", OUTCOME))
            assert draft.apply(make_intent("3")).verdict is ChangeStatus.FINISHED


class TestLostRecords:
    def test_writing_a_record_again_twice_changes_the_shard_once(self) -> None:
        draft = make_draft()
        assert draft.apply(LostRecord(DONE_1)).verdict is ChangeStatus.GRANTED
        assert draft.apply(LostRecord(DONE_1)).verdict is ChangeStatus.FINISHED

    def test_lost_intent_replaces_a_later_attempt_that_has_not_run(self) -> None:
        draft = make_draft(NOT_RUN_2)
        draft.apply(LostRecord(INTENT_1))
        assert draft.apply(make_intent("3")).verdict is ChangeStatus.IN_DOUBT


class TestWithheldIntents:
    def test_intent_that_could_be_granted_is_withheld_and_not_written(self) -> None:
        for record in (None, NOT_RUN_1):
            draft = make_draft(record)
            draft.changed = False
            verdict = draft.answer_without_grant(make_intent("2")).verdict
            assert (verdict, draft.changed) == (ChangeStatus.WITHHELD, False)

    def test_known_records_are_answered(self) -> None:
        draft = make_draft(DONE_1)
        assert draft.answer_without_grant(make_intent("2")).verdict is ChangeStatus.FINISHED
        draft = make_draft(INTENT_1)
        assert draft.answer_without_grant(make_intent("2")).verdict is ChangeStatus.IN_DOUBT
