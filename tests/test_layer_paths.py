"""Paths over layers: every layer once, around full and suspect engines."""

import random
import time
from collections import Counter
from dataclasses import replace

from ragwortpaddled.protocol import EndpointEntry, LayerRange
from ragwortpaddled.state import (
    EndpointLoads,
    LinkLoads,
    PathDemand,
    UnseenLoads,
    choose_path,
    covers,
    crossing_bits,
    token_capacity,
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


class TestCrossing:
    """A fast engine in another data centre, and a slow one beside the rest of the path."""

    FLEET = (
        entry("slow", 0, 10, "middle", where="a"),
        entry("fast", 0, 10, "large", where="b"),
        *(entry(f"y{i}", i * 10, i * 10 + 10, "middle") for i in range(1, 8)),
    )

    def first(self, running: int) -> str:
        loads = EndpointLoads()
        for name in ("slow", "fast", *(f"y{i}" for i in range(1, 8))):
            for _ in range(running):
                loads.begin(name, DEMAND.mean_tokens)
        return ids(choose_path(MODEL, self.FLEET, loads, LinkLoads(), DEMAND))[0]

    def test_is_not_worth_it_while_engines_are_empty(self) -> None:
        assert self.first(running=0) == "slow"

    def test_is_worth_it_where_memory_is_short(self) -> None:
        assert self.first(running=30) == "fast"


class TestFullLinks:
    def test_way_without_the_link_is_found_though_it_begins_slower(self) -> None:
        rest = [entry(f"y{i}", i * 10, i * 10 + 10, "middle") for i in range(1, 8)]
        fleet = [entry("slow", 0, 10, "middle"), entry("fast", 0, 10, "large", where="b"), *rest]
        links = LinkLoads()
        links.congest(frozenset(("a", "b")))
        choice = choose_path(MODEL, fleet, EndpointLoads(), links, DEMAND)
        assert ids(choice)[0] == "slow"


class TestUnseenLoads:
    """Ninety daemons that each hold a request and hear of few others."""

    DAEMONS = 90

    def one_of_many(self, running: int) -> EndpointLoads:
        loads = EndpointLoads()
        loads.daemons = self.DAEMONS
        loads.own_requests_by_pool["model"] = running
        return loads

    def spread(self, running: int) -> Counter[str]:
        """Return the first engines that as many daemons choose on their own."""
        chosen: Counter[str] = Counter()
        for number in range(self.DAEMONS):
            loads, links = self.one_of_many(running), LinkLoads()
            unseen = UnseenLoads(random.Random(number)).draw("model", MODEL, CHAINS, loads, links)
            hops = choose_path(MODEL, CHAINS, loads, links, DEMAND, unseen_by_id=unseen).hops
            chosen[hops[0].endpoint_id if hops else ""] += 1
        return chosen

    def test_no_path_is_chosen_beyond_its_memory(self) -> None:
        chosen = self.spread(running=1)
        for engine, kind in (("x0", "large"), ("y0", "middle")):
            held = next(e for e in CHAINS if e.id == engine).layers
            tokens = token_capacity(MODEL, MODEL.kind_by_name[kind], len(held))
            assert chosen[engine] * DEMAND.mean_tokens <= tokens
        assert chosen["x0"] > 0 and chosen["y0"] > 0

    def test_first_request_after_a_calm_reckons_with_others(self) -> None:
        assert self.one_of_many(running=0).unseen_requests("model") > self.DAEMONS / 4

    def test_idle_daemons_choose_the_fast_engines(self) -> None:
        loads, links = self.one_of_many(running=0), LinkLoads()
        for number in range(20):
            loads.take_peer(f"entry-{number}", {}, [], {})
        unseen = UnseenLoads(random.Random(1)).draw("model", MODEL, CHAINS, loads, links)
        assert ids(choose_path(MODEL, CHAINS, loads, links, DEMAND, unseen_by_id=unseen))[0] == "x0"

    def test_peers_that_were_heard_of_are_counted_where_they_are(self) -> None:
        loads = self.one_of_many(running=0)
        for number in range(self.DAEMONS - 1):
            loads.take_peer(f"entry-{number}", {"x0": 1}, [], {"model": 1})
        assert loads.unseen_requests("model") == 0
        assert loads.of("x0").peers == self.DAEMONS - 1
