"""Runs a daemon with one guard taken out, to show that the proofs can fail.

``python tests/mutants.py GUARD SETTINGS``
"""

import sys
from pathlib import Path

import ragwortpaddled.coordination._releases as releases
import ragwortpaddled.protocol._engine as engine
import ragwortpaddled.state._operations as operations
from ragwortpaddled.__main__ import serve
from ragwortpaddled.protocol import Judgement, Verdict
from ragwortpaddled.state import decode_release


def rerun_in_doubt() -> None:
    """Grant every attempt, whatever is recorded of its key."""
    operations.judge_intent = lambda record, intent: Judgement(Verdict.GRANTED)


def accept_any_result() -> None:
    """Take any result of the same attempt as the answer to the open step."""
    engine.StepResult.answers = lambda self, step: True


def adopt_any_release() -> None:
    """Move to whatever release is seen, and now and then to an old one."""
    adopt = releases.ReleaseFollower.adopt

    def go_back(self: releases.ReleaseFollower, text: str) -> bool:
        changed = adopt(self, text)
        if changed and self.number > 2 and self.current is not None:
            older = decode_release(text)
            object.__setattr__(older, "number", self.number - 2)
            self.current = older
        return changed

    releases.ReleaseFollower.adopt = go_back


def say_not_run() -> None:
    """Tell callers of lost answers that their operation was not run."""
    from ragwortpaddled.protocol import Executed, Refusal

    body = Refusal.__init__

    def init(self: Refusal, *arguments: object, **options: object) -> None:
        body(self, *arguments, **options)
        self.executed = Executed.NO

    Refusal.__init__ = init


GUARDS = {
    guard.__name__: guard
    for guard in (rerun_in_doubt, accept_any_result, adopt_any_release, say_not_run)
}


if __name__ == "__main__":
    GUARDS[sys.argv[1]]()
    sys.exit(serve(Path(sys.argv[2])))
