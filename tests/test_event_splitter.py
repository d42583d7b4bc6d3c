"""Splitting an event stream: only complete events are forwarded."""

from hypothesis import given
from hypothesis import strategies as st
from ragwortpaddled.state import EventSplitter

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
