"""Tests of recording and replaying captures, including truncated, damaged and malicious ones."""

from __future__ import annotations

import asyncio
import pickle
import random
import shutil
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from glenchute.capture import format_1, snapshot
from glenchute.capture import recorder as recorder_module
from glenchute.capture.codec import (
    ACTIONS,
    FORMAT,
    FRAME_HEADER,
    MAGIC,
    Truncation,
    decode_event,
    decode_frames,
    decode_header,
    encode_batch,
    encode_frame,
    encode_record,
    engine_digest,
)
from glenchute.capture.errors import CaptureError
from glenchute.capture.recorder import CaptureRule, Recorder, tenant_pseudonym
from glenchute.capture.rejections import CAUSE_TEXTS, RejectionCauses
from glenchute.capture.replay import find_runs, load_other_engine, read_segment, replay
from glenchute.cli.main import main
from glenchute.policy.actions import Reject
from glenchute.policy.engine import DecisionEngine
from glenchute.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointList,
    EndpointListKind,
    EndpointState,
    Event,
    Outcome,
    Request,
    TimerFired,
)
from glenchute.policy.settings import Settings
from lab.load import Account, Load
from lab.nodes import Node, ServiceProfile
from lab.peers import run_scenario, wait_until
from lab.site import KINDS, GatewayProcess, LabSite
from tests.fleet import Fleet
from tests.fleet import settings as fleet_settings

ROOT = Path(__file__).resolve().parents[2]


def record_run(folder: Path, seed: int = 1, **rule_fields: Any) -> Recorder:
    """Records a gateway under a flood, whose counter is replaced, to disk in several segments; returns the
    recorder."""
    recorders: list[Recorder] = []
    fleets: list[Fleet] = []

    def create_recorder(engine_settings: Settings, engine_seed: int) -> Recorder:
        rule = CaptureRule(str(folder), ring=False, segment_s=0.7, **rule_fields)

        def clock() -> float:
            return fleets[0].now / 1000.0 if fleets else 0.0

        recorders.append(
            Recorder(DecisionEngine(engine_settings, engine_seed), engine_settings, engine_seed, rule, clock)
        )
        return recorders[-1]

    fleet = Fleet(1, seed, make_engine=create_recorder)
    fleets.append(fleet)
    fleet.run(fleet.now + 500.0)
    fleet.schedule(fleet.now + 900.0, fleet.counter.replace)
    fleet.schedule_requests("soft", 60.0, 2.0, [1.0])
    fleet.schedule_requests("bare", 60.0, 2.0, [1.0])
    fleet.run(fleet.now + 2500.0)
    recorders[0].flush()
    recorders[0].writer.close(10.0)
    return recorders[0]


def test_pseudonyms_replace_tenants_and_the_capture_replays(tmp_path: Path) -> None:
    """The names occur neither in the records nor in the snapshots. Gateways with the same key use the same
    pseudonym for a tenant."""
    plain, pseudonymous = tmp_path / "plain", tmp_path / "hidden"
    for folder, key in ((plain, None), (pseudonymous, b"k" * 32)):
        folder.mkdir()
        record_run(folder, pseudonym_key=key)
    tenants = {
        event.tenant
        for file in only_run(plain)
        for event in map(decode_event, read_segment(file).records)
        if isinstance(event, Request)
    }
    assert len(tenants) >= 2 and len(only_run(pseudonymous)) > 2
    data = b"".join(file.read_bytes() for file in only_run(pseudonymous))
    named_segments = [file.read_bytes() for file in only_run(plain)[1:]]
    assert all(tenant.encode() in segment for tenant in tenants for segment in named_segments)
    for tenant in tenants:
        assert tenant.encode() not in data
        assert tenant_pseudonym(tenant, b"k" * 32).encode() in data
        assert tenant_pseudonym(tenant, b"q" * 32) != tenant_pseudonym(tenant, b"k" * 32)
    report = replay(only_run(pseudonymous))
    assert report.records > 100 and not report.differences and not report.notes


@pytest.fixture(scope="module")
def capture(tmp_path_factory: pytest.TempPathFactory) -> Path:
    folder = tmp_path_factory.mktemp("capture")
    record_run(folder)
    return folder


def only_run(folder: Path) -> list[Path]:
    ((_, files),) = find_runs(folder).items()
    return files


def test_a_recorded_run_replays_with_equal_decisions(capture: Path) -> None:
    files = only_run(capture)
    assert len(files) >= 4
    report = replay(files)
    assert report.records > 300 and not report.differences and not report.notes
    for file in files:  # each segment can be replayed alone, from its snapshot
        assert not replay([file]).differences
    assert main(["replay", str(capture)]) == 0


EVENTS = st.one_of(
    st.builds(
        Request,
        request_id=st.sampled_from(["1", "2", "3", "4", "5"]),
        class_name=st.sampled_from(["read", "none"]),
        plan=st.sampled_from(["soft", "hard", "bare"]),
        tenant=st.sampled_from(["a", "b"]),
        time_left_ms=st.floats(0.0, 5000.0),
        units=st.floats(0.1, 6.0),
        gateway_spread=st.integers(1, 4),
    ),
    st.builds(
        AttemptEnded,
        request_id=st.sampled_from(["1", "2", "3", "4", "5"]),
        attempt=st.integers(0, 3),
        address=st.sampled_from(["s0", "s1"]),
        outcome=st.sampled_from(list(Outcome)),
        duration_ms=st.floats(0.0, 3000.0),
        is_final=st.booleans(),
        queued_requests=st.none() | st.floats(0.0, 9.0),
        retry_delay_ms=st.sampled_from([0.0, 30.0, float("inf")]),
    ),
    st.builds(ClientDisconnected, request_id=st.sampled_from(["1", "2"])),
    st.builds(TimerFired, token=st.just(0)),
    st.builds(
        EndpointList,
        kind=st.sampled_from([EndpointListKind.FULL, EndpointListKind.CHANGES]),
        endpoints=st.lists(
            st.builds(
                Endpoint,
                address=st.sampled_from(["s0", "s1", "s2"]),
                zone=st.sampled_from("ab"),
                started_ms=st.sampled_from([0.0, 5.0]),
                state=st.sampled_from(list(EndpointState)),
            ),
            max_size=3,
        ).map(tuple),
    ),
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(events=st.lists(st.tuples(st.floats(0.0, 700.0), EVENTS), max_size=40), seed=st.integers(0, 9))
def test_any_events_replay_equal_from_the_start_and_from_later_snapshots(
    events: list[tuple[float, Event]], seed: int
) -> None:
    """Records are encoded, decoded, and replayed from snapshots at the start, middle and end."""
    engine_settings = fleet_settings(3)
    engine, now_ms = DecisionEngine(engine_settings, seed), 1e9
    states, encoded = [], []
    for wait_ms, event in events:
        now_ms += wait_ms
        states.append(snapshot.dump(engine))
        encoded.append(encode_record(now_ms, event, engine.handle(now_ms, event)))
    records: Any = next(decode_frames(encode_batch(encoded))) if encoded else []
    for start in {0, len(records) // 2, max(0, len(records) - 1)}:
        restored: Any = snapshot.load(states[start], FORMAT) if records else None
        for record in records[start:]:
            event = decode_event(record)
            (replayed,) = decode_frames(
                encode_batch([encode_record(record[0], event, restored.handle(record[0], event))])
            )
            assert replayed == [record]


def test_a_truncation_at_any_byte_leaves_what_is_before_it_intact(capture: Path, tmp_path: Path) -> None:
    file = only_run(capture)[0]
    data = file.read_bytes()
    record_count = len(read_segment(file).records)
    frame_ends, offset = [], 0
    while offset < len(data):
        offset += FRAME_HEADER.size + FRAME_HEADER.unpack_from(data, offset)[0]
        frame_ends.append(offset)
    assert len(frame_ends) >= 2
    cuts = sorted(
        {
            *range(0, len(data), 97),
            *(frame_end + delta for frame_end in frame_ends for delta in (-1, 0, 1, 7, 8, 9)),
        }
    )
    for cut in cuts:
        payloads = list(decode_frames(data[:cut]))
        complete_frames = sum(1 for frame_end in frame_ends if frame_end <= cut)
        intact = [payload for payload in payloads if not isinstance(payload, Truncation)]
        assert len(intact) == complete_frames
        is_reported = any(isinstance(payload, Truncation) for payload in payloads)
        assert is_reported is (cut not in (0, *frame_ends) and cut < len(data))
    truncated = tmp_path / file.name
    truncated.write_bytes(data[:-5])
    report = replay([truncated])
    assert not report.differences and report.records < record_count and "torn in a frame" in report.notes[0]


def test_damage_is_reported_and_the_rest_is_replayed(capture: Path, tmp_path: Path) -> None:
    files = [Path(shutil.copy(file, tmp_path)) for file in only_run(capture)]
    rng = random.Random(3)
    data = bytearray(files[1].read_bytes())
    offset = len(data) - 1 - rng.randrange(40)
    data[offset] ^= 0x10
    files[1].write_bytes(bytes(data))
    files[2].unlink()
    report = replay(only_run(tmp_path))
    assert not report.differences
    assert any("checksum" in note for note in report.notes)
    assert any("missing" in note for note in report.notes)
    total = sum(len(read_segment(file).records) for file in only_run(capture))
    assert 0 < report.records < total


def test_two_runs_in_a_folder_are_kept_apart(tmp_path: Path) -> None:
    record_run(tmp_path, 1)
    record_run(tmp_path, 2)
    runs = find_runs(tmp_path)
    assert len(runs) == 2 and all(not replay(files).differences for files in runs.values())


def test_files_that_are_no_captures_are_errors(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["replay", str(tmp_path)]) == 2
    invalid_file = tmp_path / "x-000000.glcap"
    for data, message in (
        (b"", "empty"),
        (b"nonsense that is long", "damaged"),
        (encode_frame(b"\x01"), "not a capture"),
        (encode_frame(b"\xc1"), "decoded"),
    ):
        invalid_file.write_bytes(data)
        with pytest.raises(CaptureError, match=message):
            read_segment(invalid_file)
    with pytest.raises(CaptureError, match="format 99"):
        decode_header({"magic": MAGIC, "format": FORMAT + 97})
    with pytest.raises(CaptureError, match="segment header"):
        decode_header({"magic": MAGIC, "format": FORMAT})
    assert replay([invalid_file]).notes and "glenchute" in capsys.readouterr().err


@pytest.mark.parametrize("capture_format", [FORMAT, format_1.FORMAT])
@pytest.mark.parametrize("forbidden", [print, eval, Path, asyncio.run])
def test_a_snapshot_can_load_only_the_engines_own_classes(
    forbidden: Callable[..., Any], capture_format: int
) -> None:
    with pytest.raises(CaptureError):
        snapshot.load(pickle.dumps(forbidden), capture_format)
    with pytest.raises(CaptureError):
        snapshot.load(b"\x80\x05garbage", capture_format)


class AttributeAccess:
    """Pickles as ``getattr(Settings, "__init__")``."""

    def __reduce__(self) -> Any:
        return getattr, (Settings, "__init__")


def test_a_snapshot_can_access_no_attributes_but_members_of_enums() -> None:
    for capture_format in (FORMAT, format_1.FORMAT):
        with pytest.raises(CaptureError):
            snapshot.load(pickle.dumps(AttributeAccess()), capture_format)
    assert snapshot.load(pickle.dumps(Outcome.RESET), FORMAT) is Outcome.RESET


def changed_engine(tmp_path: Path, module: str, old: str, new: str) -> Path:
    """Copies the engine's sources, with one line of a module changed; returns the folder."""
    folder = tmp_path / "other"
    shutil.copytree(ROOT / "glenchute" / "policy", folder, ignore=shutil.ignore_patterns("__pycache__"))
    source = folder / "admission" / module
    text = source.read_text()
    assert text.count(old) == 1
    source.write_text(text.replace(old, new))
    return folder


def test_another_version_is_compared_and_its_changes_are_counted(
    capture: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    same_engine = changed_engine(
        tmp_path, "local_share.py", "MIN_LOCAL_REQUESTS = 2.0", "MIN_LOCAL_REQUESTS = 2.0 "
    )
    assert main(["replay", str(capture), "--against", str(same_engine)]) == 0
    shutil.rmtree(same_engine)
    other_engine = changed_engine(tmp_path, "call_pacing.py", "CALL_GAP_MS = 100.0", "CALL_GAP_MS = 150.0")
    assert engine_digest(other_engine) != engine_digest()
    assert main(["replay", str(capture), "--against", str(other_engine)]) == 1
    assert " -> " in capsys.readouterr().out
    with pytest.raises(CaptureError):
        load_other_engine(tmp_path)


def test_explain_shows_buckets_counter_and_servers(capture: Path, capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["replay", str(capture), "--explain", "soft9"]) == 0
    out = capsys.readouterr().out
    for text in ("Request(request_id='soft9'", "customer: store", "counter: total", "server s0", "=> "):
        assert text in out


STORED_CAPTURES = sorted((ROOT / "tests" / "captures").glob("*.glcap"))


def test_rejections_are_counted_by_cause(capsys: pytest.CaptureFixture[str]) -> None:
    """The counts equal the rejections in each stored capture, and all together have every cause."""
    causes: set[str] = set()
    for file in STORED_CAPTURES:
        actions = [action for record in read_segment(file).records for action in record[3] or ()]
        rejections = sum(kind == ACTIONS.index(Reject) for kind, _ in actions)
        observer = RejectionCauses()
        assert not replay([file], observe=observer).differences
        rows = observer.rows()
        assert sum(row.rejections for row in rows) == rejections, file.name
        assert all(row.bucket_left_units < 6.0 for row in rows if row.cause == "empty")
        assert all(row.bucket_left_units >= 1.0 for row in rows if row.cause in ("lot", "mute"))
        causes |= {row.cause for row in rows}
    assert causes == CAUSE_TEXTS.keys()
    counter_mute = next(file for file in STORED_CAPTURES if "mute" in file.name)
    assert main(["replay", str(counter_mute), "--refusals"]) == 0
    assert "while the counter is unavailable" in capsys.readouterr().out


def test_a_version_that_does_not_count_causes_is_an_error() -> None:
    older = object()  # stands for an engine version without `reports`
    with pytest.raises(CaptureError, match="does not count rejections by cause"):
        RejectionCauses().attach(older)


def test_observing_causes_changes_no_decision(capture: Path) -> None:
    assert replay(only_run(capture), observe=RejectionCauses()).differences == []


def test_an_exception_of_the_engine_is_recorded_and_replayed(tmp_path: Path) -> None:
    engine_settings = fleet_settings(1)
    clock = [0.0]
    recorder = Recorder(
        DecisionEngine(engine_settings, 1), engine_settings, 1, CaptureRule(str(tmp_path)), lambda: clock[0]
    )
    recorder.handle(1000.0, EndpointList(EndpointListKind.CACHED, (Endpoint("s0", "a"),)))
    recorder.handle(1001.0, TimerFired(0))
    with pytest.raises(TypeError):  # any exception would do; here the time left is None
        recorder.handle(1002.0, Request("1", "read", "soft", "c", None))  # type: ignore[arg-type]
    recorder.handle(1003.0, TimerFired(0))
    recorder.trigger("asked for")
    recorder.writer.close(10.0)
    report = replay(only_run(tmp_path))
    assert report.fault_count == 1 and not report.differences and report.records == 3


def test_segments_in_memory_are_bounded_and_written_on_a_trigger_once_a_minute(tmp_path: Path) -> None:
    engine_settings = fleet_settings(1)
    clock = [0.0]
    rule = CaptureRule(str(tmp_path), segment_s=1.0, max_segments=3, rejection_trigger_fraction=0.5)
    recorder = Recorder(DecisionEngine(engine_settings, 1), engine_settings, 1, rule, lambda: clock[0])
    for step in range(100):
        clock[0] = step * 0.1
        recorder.handle(1000.0 + step * 100.0, TimerFired(0))
    assert len(recorder.ring_segments) <= 3 and not list(tmp_path.iterdir())
    for step in range(200):  # requests without time left are all rejected
        clock[0] = 10.0 + step * 0.1
        request = Request(str(step), "none", "none", "c", 0.0)
        recorder.handle(11_000.0 + step * 100.0, request)
    recorder.writer.close(10.0)
    files = only_run(tmp_path)
    assert 1 <= len(files) <= 3
    assert not replay(files).differences


def test_a_slow_disk_costs_records_and_delays_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(recorder_module, "MAX_QUEUED_WRITES", 1)
    monkeypatch.setattr(recorder_module, "RECORDS_PER_FRAME", 4)
    monkeypatch.setattr(recorder_module.SegmentWriter, "run", lambda self: None)  # the thread writes nothing
    engine_settings = fleet_settings(1)
    clock = [0.0]
    recorder = Recorder(
        DecisionEngine(engine_settings, 1),
        engine_settings,
        1,
        CaptureRule(str(tmp_path), ring=False),
        lambda: clock[0],
    )
    for step in range(100):
        recorder.handle(1000.0 + step, TimerFired(0))
    assert recorder.is_dropping and recorder.dropped_records >= 90 and recorder.writer.queue.qsize() == 1


def test_old_segments_are_removed(tmp_path: Path) -> None:
    recorder = record_run(tmp_path, 1, max_segments=2)
    assert len(list(tmp_path.glob("*.glcap"))) == 2 and recorder.segment_number >= 4
    report = replay(only_run(tmp_path))  # starts from a snapshot, as the first segments are removed
    assert not report.differences and report.records > 100


def test_a_gateway_that_is_killed_leaves_a_capture_that_replays(tmp_path: Path) -> None:
    """A gateway that captures to disk gets SIGKILL under load."""

    async def scenario() -> None:
        folder = tmp_path / "captures"
        folder.mkdir()
        operator = f'[capture]\nfolder = "{folder}"\nmode = "disk"\nsegment_s = 0.5\n'
        nodes = [Node(f"n{i}", ServiceProfile({"report-read": 5.0, "check-order": 5.0})) for i in range(2)]
        async with LabSite(nodes) as site:
            gateway = GatewayProcess(tmp_path, site.platform(), operator)
            gateway.start()
            await gateway.ready()
            accounts = [Account(b"%016x" % 5, "korporativni"), Account(b"%016x" % 6, "osnovni")]
            load = Load(lambda: gateway.port, KINDS, accounts, 120.0)
            task = asyncio.create_task(load.run(2.5))
            await asyncio.sleep(2.0)
            gateway.send_signal(signal.SIGKILL)
            assert gateway.process is not None
            gateway.process.wait()
            task.cancel()
            await asyncio.wait([task])
            await wait_until(lambda: any(folder.iterdir()))
        report = replay(only_run(folder))
        assert report.records > 100 and not report.differences

    run_scenario(scenario())
