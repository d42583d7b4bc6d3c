"""Streams of events: whole events only."""

from hypothesis import given
from hypothesis import strategies as st
from ragwortpaddled.state import EventSplitter

EVENTS = [f"id: {i}\ndata: token {i}\n\n".encode() for i in range(1, 6)]


class TestFeed:
    @given(st.lists(st.integers(1, 12)))
    def test_any_cut_passes_the_same_bytes(self, sizes: list[int]) -> None:
        splitter = EventSplitter()
        stream = b"".join(EVENTS)
        passed = b""
        at = 0
        for size in [*sizes, len(stream)]:
            part = splitter.feed(stream[at : at + size])
            assert not part or part.endswith(b"\n\n")
            passed += part
            at += size
        assert passed == stream
        assert splitter.last_id == "5"
        assert not splitter.torn

    def test_torn_event_is_held_back(self) -> None:
        splitter = EventSplitter()
        assert splitter.feed(EVENTS[0] + b"id: 2\ndata: to") == EVENTS[0]
        assert splitter.torn
        assert splitter.last_id == "1"
        splitter.drop_partial()
        assert splitter.feed(EVENTS[1]) == EVENTS[1]

    def test_first_line_before_the_id(self) -> None:
        splitter = EventSplitter()
        event = b"weights: 4\nid: 9\ndata: x\n\n"
        assert splitter.feed(event) == event
        assert splitter.last_id == "9"
