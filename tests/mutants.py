"""Runs a daemon with one guard removed, to show that the tests detect its absence.

``python tests/mutants.py GUARD SETTINGS``
"""

import sys
from pathlib import Path

import ragwortpaddled.coordination._ledger_recovery as ledger_recovery
import ragwortpaddled.coordination._releases as releases
import ragwortpaddled.protocol._engine as engine
import ragwortpaddled.state._operations as operations
from ragwortpaddled.__main__ import serve
from ragwortpaddled.protocol import ChangeResult, ChangeStatus
from ragwortpaddled.state import decode_release


def rerun_in_doubt() -> None:
    """Grant every attempt, regardless of the record of its idempotency key."""
    operations.evaluate_intent = lambda record, intent: ChangeResult(ChangeStatus.GRANTED)


def accept_any_result() -> None:
    """Accept any result of the same attempt as the result of the step in progress."""
    engine.StepResult.matches = lambda self, step: True


def adopt_any_release() -> None:
    """Fall back by two release numbers after each adoption of a release above number 2."""
    original_adopt = releases.ReleaseTracker.adopt

    def adopt_then_revert(self: releases.ReleaseTracker, text: str) -> bool:
        changed = original_adopt(self, text)
        if changed and self.number > 2 and self.current is not None:
            older_release = decode_release(text)
            object.__setattr__(older_release, "number", self.number - 2)
            self.current = older_release
        return changed

    releases.ReleaseTracker.adopt = adopt_then_revert


def grant_while_records_are_missing() -> None:
    """Take the operation records for complete as soon as the store answers after a restore."""
    ledger_recovery.LedgerRecovery.complete_era = lambda self: self.era


def say_not_run() -> None:
    """Report every refused request as not executed, even if its outcome is unknown."""
    from ragwortpaddled.protocol import Executed, Refusal

    original_init = Refusal.__init__

    def init_as_not_run(self: Refusal, *arguments: object, **options: object) -> None:
        original_init(self, *arguments, **options)
        self.executed = Executed.NO

    Refusal.__init__ = init_as_not_run


MUTATION_BY_GUARD = {
    mutation.__name__: mutation
    for mutation in (
        rerun_in_doubt,
        accept_any_result,
        adopt_any_release,
        grant_while_records_are_missing,
        say_not_run,
    )
}


if __name__ == "__main__":
    MUTATION_BY_GUARD[sys.argv[1]]()
    sys.exit(serve(Path(sys.argv[2])))
