"""Path selection over layers, and the load estimates it is based on."""

import random
import time
from collections import Counter
from dataclasses import replace

from ragwortpaddled.protocol import EndpointEntry, LayerRange
from ragwortpaddled.state import (
    EndpointLoads,
    LinkLoads,
    RequestSize,
    UnreportedLoads,
    all_layers_available,
    choose_path,
    token_capacity,
    transfer_bits,
)
from test_placement import MODEL

DEMAND = RequestSize(760, 75)


def entry(
    name: str, first: int, end: int, kind: str = "large", data_centre: str = "a"
) -> EndpointEntry:
    return EndpointEntry(
        id=name,
        pool="model",
        address=f"10.0.0.1:{len(name)}{first}{end}",
        data_centre=data_centre,
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


class TestChoosePath:
    def test_covers_all_layers_in_order(self) -> None:
        next_layer = 0
        for hop in choose_path(MODEL, CHAINS, EndpointLoads(), LinkLoads(), DEMAND).hops:
            assert hop.layers.first == next_layer
            next_layer = hop.layers.end
        assert next_layer == MODEL.layers

    def test_idle_engines_are_chosen_by_speed(self) -> None:
        assert ids(choose_path(MODEL, CHAINS, EndpointLoads(), LinkLoads(), DEMAND)) == [
            f"x{i}" for i in range(5)
        ]

    def test_suspect_engine_is_excluded(self) -> None:
        loads = EndpointLoads()
        loads.record_failure("x2")
        assert "x2" not in ids(choose_path(MODEL, CHAINS, loads, LinkLoads(), DEMAND))

    def test_suspect_engine_is_used_if_suspects_are_included(self) -> None:
        loads = EndpointLoads()
        for endpoint in CHAINS:
            loads.record_failure(endpoint.id)
        assert not ids(choose_path(MODEL, CHAINS, loads, LinkLoads(), DEMAND))
        choice = choose_path(MODEL, CHAINS, loads, LinkLoads(), DEMAND, include_suspects=True)
        assert ids(choice) == [f"x{i}" for i in range(5)]

    def test_leaving_engine_is_excluded(self) -> None:
        entries = [replace(e, leaving=e.id == "x2") for e in CHAINS]
        assert "x2" not in ids(choose_path(MODEL, entries, EndpointLoads(), LinkLoads(), DEMAND))

    def test_overlapping_layer_ranges_are_combined(self) -> None:
        entries = [*CHAINS[:4], entry("back", 60, 80)]
        hops = choose_path(MODEL, entries, EndpointLoads(), LinkLoads(), DEMAND).hops
        assert (hops[-1].layers.first, hops[-1].layers.end) == (64, 80)

    def test_missing_layers_give_no_path_and_no_coverage(self) -> None:
        arguments = (MODEL, CHAINS[:4], EndpointLoads(), LinkLoads(), DEMAND)
        assert not choose_path(*arguments).hops
        assert not all_layers_available(*arguments)

    def test_engines_at_capacity_give_no_path_but_coverage(self) -> None:
        loads = EndpointLoads()
        for name in ("x0", "y0"):
            loads.record_start(name, 1e9)
        arguments = (MODEL, CHAINS, loads, LinkLoads(), DEMAND)
        assert not choose_path(*arguments).hops
        assert all_layers_available(*arguments)

    def test_burst_is_spread_over_chains_of_different_speed(self) -> None:
        """A burst of 60 requests uses the fast chain more, but not exclusively."""
        loads = EndpointLoads()
        first_engine_ids = []
        for _ in range(60):
            hops = choose_path(MODEL, CHAINS, loads, LinkLoads(), DEMAND).hops
            first_engine_ids.append(hops[0].endpoint_id)
            for hop in hops:
                loads.record_start(hop.endpoint_id, DEMAND.tokens)
        assert first_engine_ids.count("x0") > first_engine_ids.count("y0")


class TestLoads:
    def test_other_requests_are_the_reported_load_minus_own_requests(self) -> None:
        loads = EndpointLoads()
        loads.record_start("x0", 100)
        loads.record_reported_load("x0", 5)
        assert loads.get("x0").reported_other_requests == 4

    def test_suspicion_lasts_longer_after_repeated_failures(self) -> None:
        loads = EndpointLoads()
        assert loads.record_failure("x0") < loads.record_failure("x0")
        assert loads.record_success("x0")
        assert not loads.record_success("x0")

    def test_two_daemons_must_agree_that_an_engine_is_lost(self) -> None:
        loads = EndpointLoads()
        now = time.monotonic()
        loads.record_failure("x0", suspected_lost=True)
        assert not loads.get("x0").confirmed_lost(now)
        loads.update_peer("entry-2", {}, ["x0"])
        assert loads.get("x0").confirmed_lost(now)
        loads.update_peer("entry-2", {}, [])
        assert not loads.get("x0").confirmed_lost(now)

    def test_one_suspecting_peer_does_not_make_an_engine_suspect(self) -> None:
        loads = EndpointLoads()
        loads.update_peer("entry-2", {"x0": 3}, ["x0"])
        assert not loads.get("x0").suspect(time.monotonic())
        assert loads.get("x0").peer_requests == 3
        loads.remove_peer("entry-2")
        assert loads.get("x0").peer_requests == 0


PATH_OVER_TWO_DATA_CENTRES = [
    entry("near", 0, 16),
    *(entry(f"far{i}", i * 16, i * 16 + 16, data_centre="b") for i in range(1, 5)),
]
LINK_A_B = frozenset("ab")


class TestLinks:
    """A burst of prompts over one link between data centres must not saturate it."""

    def test_requests_over_a_link_stay_within_its_bandwidth(self) -> None:
        links = LinkLoads()
        request_count = 0
        while choose_path(MODEL, PATH_OVER_TWO_DATA_CENTRES, EndpointLoads(), links, DEMAND).hops:
            links.record_transfer(LINK_A_B, transfer_bits(MODEL, DEMAND))
            request_count += 1
        seconds = (
            request_count * transfer_bits(MODEL, DEMAND) / (MODEL.inter_data_centre_mbps * 1e6)
        )
        assert 0.5 < seconds <= 1.0

    def test_congested_link_gives_no_path_but_coverage(self) -> None:
        links = LinkLoads()
        links.record_congestion(LINK_A_B)
        arguments = (MODEL, PATH_OVER_TWO_DATA_CENTRES, EndpointLoads(), links, DEMAND)
        assert not choose_path(*arguments).hops
        assert all_layers_available(*arguments)

    def test_congestion_backoff_grows_until_a_transfer_succeeds(self, monkeypatch) -> None:
        links = LinkLoads()
        clock = [100.0]
        monkeypatch.setattr("ragwortpaddled.state._link_loads.time.monotonic", lambda: clock[0])
        first_seconds = links.record_congestion(LINK_A_B)
        clock[0] += first_seconds
        assert links.record_congestion(LINK_A_B) > first_seconds
        clock[0] += 10
        links.record_success(LINK_A_B)
        assert links.record_congestion(LINK_A_B) == first_seconds


class TestTransferCost:
    """A fast engine in another data centre, and a slow one in that of the other stages."""

    ENGINES = (
        entry("slow", 0, 10, "middle", data_centre="a"),
        entry("fast", 0, 10, "large", data_centre="b"),
        *(entry(f"y{i}", i * 10, i * 10 + 10, "middle") for i in range(1, 8)),
    )

    def first_engine(self, running_requests: int) -> str:
        loads = EndpointLoads()
        for name in ("slow", "fast", *(f"y{i}" for i in range(1, 8))):
            for _ in range(running_requests):
                loads.record_start(name, DEMAND.mean_tokens)
        return ids(choose_path(MODEL, self.ENGINES, loads, LinkLoads(), DEMAND))[0]

    def test_idle_engines_avoid_the_transfer(self) -> None:
        assert self.first_engine(running_requests=0) == "slow"

    def test_busy_engines_use_the_faster_remote_engine(self) -> None:
        assert self.first_engine(running_requests=30) == "fast"


class TestFullLinks:
    def test_path_avoids_a_full_link_although_its_first_stage_is_slower(self) -> None:
        rest = [entry(f"y{i}", i * 10, i * 10 + 10, "middle") for i in range(1, 8)]
        engines = [
            entry("slow", 0, 10, "middle"),
            entry("fast", 0, 10, "large", data_centre="b"),
            *rest,
        ]
        links = LinkLoads()
        links.record_congestion(frozenset(("a", "b")))
        choice = choose_path(MODEL, engines, EndpointLoads(), links, DEMAND)
        assert ids(choice)[0] == "slow"


class TestUnreportedLoads:
    """Ninety daemons place requests without reports from most of the others.

    If each relied on the reported load alone, all would select the same path and overcommit it.
    """

    DAEMONS = 90

    def loads_of_daemon(self, running_requests: int) -> EndpointLoads:
        loads = EndpointLoads()
        loads.daemon_count = self.DAEMONS
        loads.own_requests_by_pool["model"] = running_requests
        return loads

    def count_first_engines(self, running_requests: int) -> Counter[str]:
        """Return how many daemons choose each first engine, each without reports of the others."""
        count_by_engine: Counter[str] = Counter()
        for number in range(self.DAEMONS):
            loads, links = self.loads_of_daemon(running_requests), LinkLoads()
            unreported_by_id = UnreportedLoads(random.Random(number)).sample(
                "model", MODEL, CHAINS, loads, links
            )
            hops = choose_path(
                MODEL, CHAINS, loads, links, DEMAND, unreported_by_id=unreported_by_id
            ).hops
            count_by_engine[hops[0].endpoint_id if hops else ""] += 1
        return count_by_engine

    def test_independent_choices_do_not_exceed_the_memory_of_a_path(self) -> None:
        count_by_engine = self.count_first_engines(running_requests=1)
        for engine, kind in (("x0", "large"), ("y0", "middle")):
            held = next(e for e in CHAINS if e.id == engine).layers
            tokens = token_capacity(MODEL, MODEL.kind_by_name[kind], len(held))
            assert count_by_engine[engine] * DEMAND.mean_tokens <= tokens
        assert count_by_engine["x0"] > 0 and count_by_engine["y0"] > 0

    def test_first_request_after_an_idle_period_assumes_unreported_requests(self) -> None:
        assert (
            self.loads_of_daemon(running_requests=0).estimate_unreported_requests("model")
            > self.DAEMONS / 4
        )

    def test_reports_of_idle_peers_leave_the_fastest_path_chosen(self) -> None:
        loads, links = self.loads_of_daemon(running_requests=0), LinkLoads()
        for number in range(20):
            loads.update_peer(f"entry-{number}", {}, [], {})
        unreported_by_id = UnreportedLoads(random.Random(1)).sample(
            "model", MODEL, CHAINS, loads, links
        )
        assert (
            ids(
                choose_path(MODEL, CHAINS, loads, links, DEMAND, unreported_by_id=unreported_by_id)
            )[0]
            == "x0"
        )

    def test_reported_requests_are_counted_on_their_engine_only(self) -> None:
        loads = self.loads_of_daemon(running_requests=0)
        for number in range(self.DAEMONS - 1):
            loads.update_peer(f"entry-{number}", {"x0": 1}, [], {"model": 1})
        assert loads.estimate_unreported_requests("model") == 0
        assert loads.get("x0").peer_requests == self.DAEMONS - 1
