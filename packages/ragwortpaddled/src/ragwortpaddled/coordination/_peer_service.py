"""Handles the requests of other daemons."""

from functools import singledispatchmethod

from ragwortpaddled.coordination._fleet_view import FleetView
from ragwortpaddled.coordination._ledger import Ledger
from ragwortpaddled.coordination._membership import Membership
from ragwortpaddled.coordination._releases import ReleaseTracker
from ragwortpaddled.errors import PeerRefusedError
from ragwortpaddled.protocol import (
    Acknowledged,
    CommitChanges,
    Deltas,
    Digest,
    FetchRelease,
    FetchSummary,
    KeepRecord,
    PeerMessage,
    decode_message,
    encode_message,
)


class PeerService:
    """Dispatches each request to the component that handles its message type."""

    def __init__(
        self,
        membership: Membership,
        fleet_view: FleetView,
        release_tracker: ReleaseTracker,
        ledger: Ledger,
    ) -> None:
        self._membership = membership
        self._fleet_view = fleet_view
        self._release_tracker = release_tracker
        self._ledger = ledger

    async def handle(self, body: bytes) -> bytes:
        """Decode a request, handle it and return the encoded reply.

        :raises PeerRefusedError: the message type is not a request
        """
        return encode_message(await self._handle_message(decode_message(body)))

    @singledispatchmethod
    async def _handle_message(self, message: PeerMessage) -> PeerMessage:
        raise PeerRefusedError(f"message type is not a request: {type(message).__name__}")

    @_handle_message.register
    async def _(self, message: Digest) -> PeerMessage:
        return self._membership.handle_digest(message)

    @_handle_message.register
    async def _(self, message: Deltas) -> PeerMessage:
        self._membership.merge_deltas(message.deltas)
        return Acknowledged()

    @_handle_message.register
    async def _(self, message: FetchSummary) -> PeerMessage:
        return self._fleet_view.handle_summary(message)

    @_handle_message.register
    async def _(self, message: FetchRelease) -> PeerMessage:
        return self._release_tracker.release_above(message.above)

    @_handle_message.register
    async def _(self, message: CommitChanges) -> PeerMessage:
        return await self._ledger.commit_for_peer(message)

    @_handle_message.register
    async def _(self, message: KeepRecord) -> PeerMessage:
        self._ledger.keep_for_peer(message.record)
        return Acknowledged()
