"""Answers the messages of other daemons."""

from functools import singledispatchmethod

from ragwortpaddled.coordination._ledger import Ledger
from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.coordination._releases import ReleaseFollower
from ragwortpaddled.coordination._summaries import Fleet
from ragwortpaddled.errors import PeerRefusedError
from ragwortpaddled.protocol import (
    Acknowledged,
    CommitChanges,
    Deltas,
    Digest,
    FetchRelease,
    FetchSummary,
    PeerMessage,
    decode_message,
    encode_message,
)


class PeerService:
    """Hands each message to the part that it is for."""

    def __init__(
        self,
        membership: Membership,
        fleet: Fleet,
        releases: ReleaseFollower,
        ledger: Ledger,
    ) -> None:
        self._membership = membership
        self._fleet = fleet
        self._releases = releases
        self._ledger = ledger

    async def handle(self, body: bytes) -> bytes:
        """Answer the bytes of a message.

        :raises PeerRefusedError: it is not a request
        """
        return encode_message(await self._answer(decode_message(body)))

    @singledispatchmethod
    async def _answer(self, message: PeerMessage) -> PeerMessage:
        raise PeerRefusedError(f"not a request: {type(message).__name__}")

    @_answer.register
    async def _(self, message: Digest) -> PeerMessage:
        return self._membership.take_digest(message)

    @_answer.register
    async def _(self, message: Deltas) -> PeerMessage:
        self._membership.take_deltas(message.deltas)
        return Acknowledged()

    @_answer.register
    async def _(self, message: FetchSummary) -> PeerMessage:
        return self._fleet.take_summary(message)

    @_answer.register
    async def _(self, message: FetchRelease) -> PeerMessage:
        return self._releases.above(message.above)

    @_answer.register
    async def _(self, message: CommitChanges) -> PeerMessage:
        return await self._ledger.answer(message)
