"""Paths over layers: every layer once, around full and suspect engines."""

import time
from dataclasses import replace

from ragwortpaddled.protocol import EndpointEntry, LayerRange
from ragwortpaddled.state import (
    EndpointLoads,
    LinkLoads,
    PathDemand,
    choose_path,
    covers,
    crossing_bits,
)
from test_placement import MODEL

DEMAND = PathDemand(760, 75)


def entry(name: str, first: int, end: int, kind: str = "large", where: str = "a") -> EndpointEntry:
    return EndpointEntry(
        id=name,
        pool="model",
        address=f"10.0.0.1:{len(name)}{first}{end}",
        data_centre=where,
        slots=96,
        leaving=False,
        kind=kind,
        layers=LayerRange(first, end),
    )


CHAINS = [
    *(entry(f"x{i}", i * 16, i * 16 + 16) for i in range(5)),
    *(entry(f"y{i}", i * 10, i * 10 + 10, "middle") for i in range(8)),
]


def ids(choice) -> list[str]:
    return [hop.endpoint_id for hop in choice.hops]


class TestChoice:
    def test_covers_all_layers_in_order(self) -> None:
        point = 0
        for hop in choose_path(MODEL, CHAINS, EndpointLoads(), LinkLoads(), DEMAND).hops:
            assert hop.layers.first == point
            point = hop.layers.end
        assert point == MODEL.layers

    def test_idle_fleet_uses_the_fast_engines(self) -> None:
        assert ids(choose_path(MODEL, CHAINS, EndpointLoads(), LinkLoads(), DEMAND)) == [
            f"x{i}" for i in range(5)
        ]

    def test_suspect_stage_is_avoided(self) -> None:
        loads = EndpointLoads()
        loads.fail("x2")
        assert "x2" not in ids(choose_path(MODEL, CHAINS, loads, LinkLoads(), DEMAND))

    def test_leaving_stage_is_avoided(self) -> None:
        entries = [replace(e, leaving=e.id == "x2") for e in CHAINS]
        assert "x2" not in ids(choose_path(MODEL, entries, EndpointLoads(), LinkLoads(), DEMAND))

    def test_overlapping_ranges_join(self) -> None:
        entries = [*CHAINS[:4], entry("back", 60, 80)]
        hops = choose_path(MODEL, entries, EndpointLoads(), LinkLoads(), DEMAND).hops
        assert (hops[-1].layers.first, hops[-1].layers.end) == (64, 80)

    def test_hole_is_not_covered(self) -> None:
        asked = (MODEL, CHAINS[:4], EndpointLoads(), LinkLoads(), DEMAND)
        assert not choose_path(*asked).hops
        assert not covers(*asked)

    def test_full_fleet_is_covered_but_has_no_path(self) -> None:
        loads = EndpointLoads()
        for name in ("x0", "y0"):
            loads.begin(name, 1e9)
        asked = (MODEL, CHAINS, loads, LinkLoads(), DEMAND)
        assert not choose_path(*asked).hops
        assert covers(*asked)

    def test_burst_spreads_over_chains_of_unlike_speed(self) -> None:
        """A burst of 60 requests fills the fast chain first, but not alone."""
        loads = EndpointLoads()
        heads = []
        for _ in range(60):
            hops = choose_path(MODEL, CHAINS, loads, LinkLoads(), DEMAND).hops
            heads.append(hops[0].endpoint_id)
            for hop in hops:
                loads.begin(hop.endpoint_id, DEMAND.tokens)
        assert heads.count("x0") > heads.count("y0")


class TestLoads:
    def test_others_are_what_is_stated_beyond_own(self) -> None:
        loads = EndpointLoads()
        loads.begin("x0", 100)
        loads.state("x0", 5)
        assert loads.of("x0").stated_others == 4

    def test_repeated_failures_last_longer(self) -> None:
        loads = EndpointLoads()
        assert loads.fail("x0") < loads.fail("x0")
        assert loads.succeed("x0")
        assert not loads.succeed("x0")

    def test_two_daemons_must_agree_that_an_engine_is_lost(self) -> None:
        loads = EndpointLoads()
        now = time.monotonic()
        loads.fail("x0", blamed=True)
        assert not loads.of("x0").lost(now)
        loads.take_peer("entry-2", {}, ["x0"])
        assert loads.of("x0").lost(now)
        loads.take_peer("entry-2", {}, [])
        assert not loads.of("x0").lost(now)

    def test_own_view_goes_before_one_peer(self) -> None:
        loads = EndpointLoads()
        loads.take_peer("entry-2", {"x0": 3}, ["x0"])
        assert not loads.of("x0").suspect(time.monotonic())
        assert loads.of("x0").peers == 3
        loads.forget_peer("entry-2")
        assert loads.of("x0").peers == 0


SPLIT = [
    entry("near", 0, 16),
    *(entry(f"far{i}", i * 16, i * 16 + 16, where="b") for i in range(1, 5)),
]
LINK = frozenset("ab")


class TestLinks:
    """A burst of prompts over one link between data centres."""

    def test_link_takes_no_more_than_it_carries(self) -> None:
        links = LinkLoads()
        taken = 0
        while choose_path(MODEL, SPLIT, EndpointLoads(), links, DEMAND).hops:
            links.note(LINK, crossing_bits(MODEL, DEMAND))
            taken += 1
        seconds = taken * crossing_bits(MODEL, DEMAND) / (MODEL.cross_link_mbps * 1e6)
        assert 0.5 < seconds <= 1.0

    def test_full_link_is_no_hole(self) -> None:
        links = LinkLoads()
        links.congest(LINK)
        asked = (MODEL, SPLIT, EndpointLoads(), links, DEMAND)
        assert not choose_path(*asked).hops
        assert covers(*asked)

    def test_congestion_lasts_longer_each_time_until_a_request_passes(self, monkeypatch) -> None:
        links = LinkLoads()
        clock = [100.0]
        monkeypatch.setattr("ragwortpaddled.state._link_loads.time.monotonic", lambda: clock[0])
        first = links.congest(LINK)
        clock[0] += first
        assert links.congest(LINK) > first
        clock[0] += 10
        links.pass_on(LINK)
        assert links.congest(LINK) == first
