"""Decision logic of the daemon, tested in memory without processes or network."""

import math
import random
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from ragwortpaddled._settings import load_settings
from ragwortpaddled.coordination import (
    ChainContext,
    Observation,
    SequenceSize,
    SignalDebouncer,
    TokenBucket,
    check_idempotency_key,
    choose_chain,
    covers_all_layers,
)
from ragwortpaddled.errors import NoChainError, ObjectsError, SettingsError
from ragwortpaddled.protocol import (
    ChangeStatus,
    Completion,
    CrashEvidence,
    GossipEntry,
    Intent,
    LoadReport,
    OperationRecord,
    OperationState,
    Origin,
    Outcome,
    Refusal,
    Vm,
)
from ragwortpaddled.state import (
    Circuit,
    CircuitState,
    Endpoint,
    GossipTable,
    Route,
    Shard,
    ShareDemand,
    build_object_set,
    check_objects,
    choose_by_rendezvous,
    find_poison_contents,
    format_object,
    local_share,
    max_min_shares,
    read_objects,
)

NOW = 1000.0


def endpoint(
    name: str, first: int, end: int, step_ms: float = 10.0, sequences: int = 0
) -> Endpoint:
    result = Endpoint(Vm(name, "endpoint", "127.0.0.1:1", "dc-a", "pool"))
    report = LoadReport(first_layer=first, end_layer=end, layers=12, max_batch=8, step_ms=step_ms)
    result.update_report(report, NOW)
    result.sequences = sequences
    return result


class TestChooseChain:
    CONTEXT = ChainContext(NOW, "dc-a")

    def chosen(self, endpoints: list[Endpoint], context: ChainContext = CONTEXT) -> list[str]:
        chain = choose_chain(endpoints, 12, SequenceSize(10, 10), context, random.Random(1))
        return [item.name for item in chain]

    def test_chooses_the_fastest_chain_when_all_are_idle(self) -> None:
        endpoints = [endpoint("slow", 0, 12, 40), endpoint("a", 0, 6, 5), endpoint("b", 6, 12, 5)]
        assert self.chosen(endpoints) == ["a", "b"]

    def test_chooses_a_slower_endpoint_over_an_overloaded_one(self) -> None:
        endpoints = [endpoint("fast", 0, 12, 10, sequences=60), endpoint("slow", 0, 12, 40)]
        assert self.chosen(endpoints) == ["slow"]

    def test_layer_gaps_and_overlaps_give_no_chain(self) -> None:
        endpoints = [endpoint("a", 0, 6), endpoint("b", 5, 12), endpoint("c", 7, 12)]
        assert not covers_all_layers(endpoints, 12)
        with pytest.raises(NoChainError):
            self.chosen(endpoints)

    def test_leaving_and_excluded_endpoints_are_not_chosen(self) -> None:
        endpoints = [endpoint("a", 0, 12), endpoint("b", 0, 12), endpoint("c", 0, 12)]
        endpoints[0].leaving_since = NOW
        context = ChainContext(NOW, "dc-a", excluded_endpoints=frozenset({"b"}))
        assert self.chosen(endpoints, context) == ["c"]

    @given(
        ranges=st.lists(st.tuples(st.integers(0, 11), st.integers(1, 12)), max_size=20),
        seed=st.integers(0, 99),
    )
    @settings(derandomize=True, max_examples=200)
    def test_every_chain_covers_every_layer_once(
        self, ranges: list[tuple[int, int]], seed: int
    ) -> None:
        engines = [endpoint(f"e{i}", a, b) for i, (a, b) in enumerate(ranges) if a < b]
        try:
            chain = choose_chain(engines, 12, SequenceSize(1, 1), self.CONTEXT, random.Random(seed))
        except NoChainError:
            assert not covers_all_layers(engines, 12)
            return
        layers = [n for e in chain for n in range(e.report.first_layer, e.report.end_layer)]
        assert layers == list(range(12))


class TestLoadReports:
    @pytest.mark.parametrize("value", [math.nan, math.inf, -1.0])
    def test_implausible_report_values_are_ignored(self, value: float) -> None:
        item = endpoint("e", 0, 12)
        assert not item.update_report(LoadReport(first_layer=0, end_layer=12, step_ms=value), NOW)
        assert not item.has_fresh_report(NOW)
        item.decode.add(7.0)
        assert item.step_ms(NOW) == 7.0

    def test_expired_report_is_not_used(self) -> None:
        item = endpoint("e", 0, 12, step_ms=50.0)
        item.decode.add(7.0)
        assert item.step_ms(NOW) == 50.0
        assert item.step_ms(NOW + 60) == 7.0


class TestCircuit:
    def test_circuit_opens_probes_once_and_closes_with_a_slow_start(self) -> None:
        circuit = Circuit()
        assert not circuit.record_failure(NOW)
        assert circuit.record_failure(NOW)
        assert not circuit.admits(NOW)
        later = circuit.retry_at
        assert circuit.admits(later)
        circuit.record_start(later)
        assert not circuit.admits(later)
        assert circuit.record_success(later)
        assert circuit.slow_start_share(later) < circuit.slow_start_share(later + 60) == 1.0

    def test_abandoned_probe_allows_another_probe(self) -> None:
        circuit = Circuit()
        circuit.record_failure(NOW, conclusive=True)
        circuit.record_start(circuit.retry_at)
        assert circuit.state is CircuitState.HALF_OPEN
        circuit.cancel_probe()
        assert circuit.admits(circuit.retry_at)


class TestFairShares:
    def test_unused_share_goes_to_other_teams(self) -> None:
        shares = max_min_shares(100, {"quiet": ShareDemand(10), "flood": ShareDemand(1000)})
        assert shares == {"quiet": 10, "flood": 90}

    def test_shares_follow_weights_and_bounds(self) -> None:
        claims = {
            "a": ShareDemand(1000, weight=2),
            "b": ShareDemand(1000),
            "c": ShareDemand(1000, bound=5),
        }
        shares = max_min_shares(65, claims)
        assert shares == {"a": pytest.approx(40), "b": pytest.approx(20), "c": 5}

    @given(
        demands=st.dictionaries(st.text("abcdef", min_size=1), st.floats(0, 1e4), max_size=8),
        places=st.floats(0, 1e4),
    )
    @settings(derandomize=True)
    def test_shares_exceed_neither_the_total_nor_the_demand(
        self, demands: dict[str, float], places: float
    ) -> None:
        shares = max_min_shares(places, {t: ShareDemand(d) for t, d in demands.items()})
        assert sum(shares.values()) <= places + 1e-6 * max(1.0, places)
        assert all(shares[team] <= demands[team] + 1e-6 for team in demands)

    @given(demands=st.lists(st.floats(0.1, 1e4), min_size=1, max_size=9))
    @settings(derandomize=True)
    def test_shares_of_all_daemons_add_up_to_the_total(self, demands: list[float]) -> None:
        parts = [local_share(50, own, sum(demands) - own) for own in demands]
        assert sum(parts) == pytest.approx(50)


class TestTokenBucket:
    def test_request_larger_than_the_bucket_delays_the_next_one(self) -> None:
        bucket = TokenBucket()
        assert bucket.take(100, 500) == 0
        assert bucket.take(100, 1) > 3


class TestOperationRecords:
    INTENT = Intent("k", "a1", "body", 0.0, 1e12)

    def completion(self, attempt: str, outcome: Outcome | None) -> Completion:
        return Completion("k", attempt, "body", 0.0, 1e12, outcome)

    def test_state_transitions_of_an_idempotency_key(self) -> None:
        draft = Shard().draft(0)
        other = Intent("k", "a2", "body", 0.0, 1e12)
        assert draft.apply(self.INTENT).verdict is ChangeStatus.GRANTED
        assert draft.apply(self.INTENT).verdict is ChangeStatus.GRANTED
        assert draft.apply(other).verdict is ChangeStatus.IN_DOUBT
        draft.apply(self.completion("a2", None))
        assert draft.record_by_key["k"].state is OperationState.INTENT
        draft.apply(self.completion("a1", Outcome(200, "", "ok")))
        assert draft.apply(other).verdict is ChangeStatus.FINISHED

    def test_attempt_recorded_as_not_run_is_never_granted(self) -> None:
        draft = Shard().draft(0)
        draft.apply(self.completion("a1", None))
        assert draft.changed
        assert draft.apply(self.INTENT).verdict is ChangeStatus.STALE
        assert draft.apply(Intent("k", "a2", "body", 0.0, 1e12)).verdict is ChangeStatus.GRANTED

    def test_outcome_of_an_attempt_whose_record_was_lost_is_final(self) -> None:
        draft = Shard().draft(0)
        draft.apply(Intent("k", "a2", "body", 0.0, 1e12))
        draft.apply(self.completion("a1", Outcome(200, "", "ok")))
        draft.apply(self.completion("a2", None))
        assert draft.record_by_key["k"].attempt == "a1"
        assert draft.record_by_key["k"].state is OperationState.DONE

    def test_recovered_record_replaces_an_older_one_only(self) -> None:
        draft = Shard().draft(0)
        draft.apply(self.INTENT)
        done = OperationRecord("k", "a1", OperationState.DONE, "body", 1.0, 1e12)
        draft.recover([done])
        draft.recover([OperationRecord("k", "a1", OperationState.INTENT, "body", 0.0, 1e12)])
        draft.recover([OperationRecord("k", "a0", OperationState.NOT_RUN, "body", 2.0, 1e12)])
        assert draft.record_by_key["k"] == done

    def test_sealed_records_still_block_other_attempts(self) -> None:
        shard = Shard()
        draft = shard.draft(0)
        draft.apply(self.INTENT)
        records = draft.seal("segment")
        shard.segments = draft.segments
        shard.sealed_by_segment["segment"] = {record.key: record for record in records}
        other = Intent("k", "a2", "body", 0.0, 1e12)
        assert shard.draft(0).apply(other).verdict is ChangeStatus.IN_DOUBT

    def test_expired_records_are_dropped(self) -> None:
        shard = Shard()
        draft = shard.draft(0)
        draft.apply(Intent("k", "a1", "body", 0.0, 10.0))
        shard.record_by_key = draft.record_by_key
        assert not shard.draft(11.0).record_by_key

    @pytest.mark.parametrize("key", ["", "x" * 201, "plain"])
    def test_invalid_idempotency_keys_are_refused(self, key: str) -> None:
        route = Route("r", "p", "n", repeatable=False, dated_keys=True)
        with pytest.raises(Refusal):
            check_idempotency_key(route, key, 0.0)


class TestPoisonContents:
    @staticmethod
    def evidence(*crashes: tuple[str, float, str]) -> list[CrashEvidence]:
        return [CrashEvidence(c, "r", name, at) for name, at, contents in crashes for c in contents]

    def test_only_content_common_to_two_crashes_is_identified(self) -> None:
        evidence = self.evidence(("e1", 0.0, "xab"), ("e2", 5.0, "xc"))
        assert [content for content, _ in find_poison_contents(evidence, 10.0)] == ["x"]

    def test_two_common_contents_need_a_third_crash_to_distinguish_them(self) -> None:
        evidence = self.evidence(("e1", 0.0, "xa"), ("e2", 5.0, "xa"))
        assert not list(find_poison_contents(evidence, 10.0))
        evidence += self.evidence(("e3", 8.0, "xc"))
        assert [content for content, _ in find_poison_contents(evidence, 10.0)] == ["x"]

    def test_two_reports_of_one_crash_count_once(self) -> None:
        evidence = self.evidence(("e1", 0.0, "x"), ("e1", 0.5, "x"))
        assert not list(find_poison_contents(evidence, 10.0))

    def test_recent_crash_is_not_yet_considered(self) -> None:
        evidence = self.evidence(("e1", 0.0, "x"), ("e2", 9.5, "x"))
        assert not list(find_poison_contents(evidence, 10.0))


class TestGossipTable:
    @staticmethod
    def table(name: str, incarnation: int = 1) -> GossipTable:
        return GossipTable(Origin(name, incarnation, "dc", f"{name}:1"))

    def sync(self, source: GossipTable, target: GossipTable) -> None:
        names = list(source.state_by_name)
        target.merge(source.deltas_for(target.digest(list(target.state_by_name)), names))

    def test_entries_and_tombstones_propagate(self) -> None:
        a, b, c = self.table("a"), self.table("b"), self.table("c")
        a.publish("key", b"1")
        self.sync(a, b)
        self.sync(b, c)
        assert c.state_by_name["a"].entry_by_key["key"] == GossipEntry("key", 1, b"1")
        a.withdraw("key")
        self.sync(a, b)
        assert not list(b.state_by_name["a"].live_entries(""))
        assert not a.deltas_for(b.digest(list(b.state_by_name)), list(a.state_by_name))

    def test_entries_of_an_older_incarnation_are_ignored(self) -> None:
        new, old, peer = self.table("a", 5), self.table("a", 4), self.table("p")
        old.publish("key", b"old")
        new.publish("key", b"new")
        self.sync(new, peer)
        self.sync(old, peer)
        assert peer.state_by_name["a"].entry_by_key["key"].value == b"new"

    def test_restart_with_a_clock_set_back_raises_the_incarnation(self) -> None:
        restarted = self.table("a", 3)
        restarted.update_heartbeat(Origin("a", 9, "dc", "a:1"), 1)
        assert restarted.own.origin.incarnation == 10


class TestRendezvous:
    def test_losing_a_member_moves_only_its_keys(self) -> None:
        names = [f"entry-{i}" for i in range(9)]
        keys = [f"key-{i}" for i in range(200)]
        before = {key: choose_by_rendezvous(names, key) for key in keys}
        after = {key: choose_by_rendezvous(names[1:], key) for key in keys}
        assert all(after[k] == before[k] for k in keys if before[k] != names[0])
        assert len(set(before.values())) == 9


class TestSignalDebouncer:
    OBSERVATION = Observation("kind", "object", "evidence", "done", "advice")

    def test_single_observations_raise_no_signal(self) -> None:
        debouncer = SignalDebouncer()
        assert debouncer.update([self.OBSERVATION], 1.0) == {}
        assert debouncer.update([], 2.0) == {}
        assert debouncer.update([self.OBSERVATION], 3.0) == {}

    def test_signal_is_raised_once_and_clears_without_observations(self) -> None:
        debouncer = SignalDebouncer()
        changes = [debouncer.update([self.OBSERVATION], float(at)) for at in range(5)]
        raised = [change["kind/object"] for change in changes if change]
        assert [signal.since for signal in raised] == [0.0]
        cleared = [debouncer.update([], float(at)) for at in range(4)]
        assert [change for change in cleared if change] == [{"kind/object": None}]

    def test_alternating_observations_do_not_change_the_signal(self) -> None:
        debouncer = SignalDebouncer()
        for at in range(3):
            debouncer.update([self.OBSERVATION], float(at))
        changes = [
            debouncer.update([self.OBSERVATION] if at % 2 else [], float(at)) for at in range(20)
        ]
        assert not any(changes)


class TestObjects:
    def test_all_broken_references_are_reported_together(self, tmp_path: Path) -> None:
        path = tmp_path / "objects.ini"
        path.write_text(
            "[route:r]\npool = p\npriority = q\nteams = t\n[team:u]\n"
            f"token_sha256 = {'0' * 64}\nlimit = l\n[limit:none]\n"
        )
        problems = check_objects(build_object_set([edit.item for edit in read_objects([path])]))
        assert len(problems) == 5

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("[pool:p]\nserves = tea\n", "[pool:p] serves"),
            ("[pool:p]\nserves = model\ncolour = red\n", "[pool:p] colour"),
            ("[kettle:p]\n", "[kettle:p]"),
            ("[limit:l]\nrequests_per_second = nan\n", "[limit:l] requests_per_second"),
        ],
    )
    def test_error_names_the_malformed_object(
        self, tmp_path: Path, text: str, expected: str
    ) -> None:
        path = tmp_path / "objects.ini"
        path.write_text(text)
        with pytest.raises(ObjectsError, match=expected.replace("[", r"\[").replace("]", r"\]")):
            read_objects([path])

    def test_written_objects_are_read_back_unchanged(self, tmp_path: Path) -> None:
        source = Path(__file__).parent.parent / "examples" / "workshops.ini"
        items = [edit.item for edit in read_objects([source])]
        path = tmp_path / "again.ini"
        path.write_text("\n".join(format_object(item, 3) for item in items))
        edits = read_objects([path])
        assert [edit.item for edit in edits] == items
        assert {edit.version_read for edit in edits} == {3}


class TestSettings:
    VALID_SETTINGS = (
        "[daemon]\nname = e\ndata_centre = d\nlisten = 127.0.0.1:1\npeer_listen = 127.0.0.1:2\n"
        "[platform]\nurl = http://127.0.0.1:3\n[peers]\nkey_file = /k\n"
    )

    def test_valid_settings_are_loaded(self, tmp_path: Path) -> None:
        path = tmp_path / "settings.ini"
        path.write_text(self.VALID_SETTINGS)
        assert load_settings(path).daemon.name == "e"

    @pytest.mark.parametrize(
        ("old", "new", "expected"),
        [
            ("name = e\n", "", "daemon. name"),
            ("listen = 127.0.0.1:1", "listen = localhost:1", "daemon. listen"),
            ("[peers]", "[pears]", "pears"),
            ("key_file", "key_fiel", "peers. key_fiel"),
            (
                "url = http://127.0.0.1:3",
                "url = http://127.0.0.1:3\ntimeout_ms = soon",
                "timeout_ms",
            ),
        ],
    )
    def test_error_names_the_file_section_and_key(
        self, tmp_path: Path, old: str, new: str, expected: str
    ) -> None:
        path = tmp_path / "settings.ini"
        path.write_text(self.VALID_SETTINGS.replace(old, new))
        with pytest.raises(SettingsError, match=f"settings.ini.*{expected}"):
            load_settings(path)
