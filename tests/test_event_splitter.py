"""Splitting an event stream: only complete events are forwarded."""

import time

from hypothesis import given
from hypothesis import strategies as st
from ragwortpaddled.state import EventSplitter

MAX_WAIT_SECONDS = 0.25  # of any other request of the daemon, for one endless response
EVENTS = [f"id: {i}\ndata: token {i}\n\n".encode() for i in range(1, 6)]


class TestFeed:
    @given(st.lists(st.integers(1, 12)))
    def test_any_chunk_sizes_give_complete_events_and_the_same_bytes(
        self, sizes: list[int]
    ) -> None:
        splitter = EventSplitter()
        stream = b"".join(EVENTS)
        forwarded = b""
        offset = 0
        for size in [*sizes, len(stream)]:
            complete = splitter.feed(stream[offset : offset + size])
            assert not complete or complete.endswith(b"\n\n")
            forwarded += complete
            offset += size
        assert forwarded == stream
        assert splitter.last_id == "5"
        assert not splitter.has_partial

    def test_incomplete_event_is_buffered_until_discarded(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(EVENTS[0] + b"id: 2\ndata: to") == EVENTS[0]
        assert splitter.has_partial
        assert splitter.last_id == "1"
        splitter.discard_partial()
        assert splitter.feed(EVENTS[1]) == EVENTS[1]

    def test_id_is_found_after_another_field(self) -> None:
        splitter = EventSplitter()
        event = b"weights: 4\nid: 9\ndata: x\n\n"
        assert splitter.feed(event) == event
        assert splitter.last_id == "9"


class TestSmallPieces:
    """An event in many pieces that stopped the whole daemon while it was buffered."""

    def test_time_does_not_grow_with_the_buffered_bytes(self) -> None:
        splitter = EventSplitter()
        piece, count = b"x" * 8, 32 * 1024
        started_at = time.thread_time()  # not counted while another process runs
        for _ in range(count):
            assert splitter.feed(piece) == b""
        assert time.thread_time() - started_at < MAX_WAIT_SECONDS
        assert splitter.feed(b"\n\n") == piece * count + b"\n\n"

    @given(st.text("\r\nix: 1", max_size=40), st.lists(st.integers(1, 5)))
    def test_pieces_give_the_same_events_as_the_whole(self, text: str, sizes: list[int]) -> None:
        whole, pieces = EventSplitter(), EventSplitter()
        complete = b""
        offset = 0
        for size in [*sizes, len(text)]:
            complete += pieces.feed(text[offset : offset + size].encode())
            offset += size
        assert complete == whole.feed(text.encode())
        assert pieces.partial_bytes == whole.partial_bytes
        assert pieces.last_id == whole.last_id
