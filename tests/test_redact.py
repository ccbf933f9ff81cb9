"""Redacted recordings contain no data of clients, and a replay of them still routes the same."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from oatlink.core import messages as m
from oatlink.core.classify import Classifier, slots_of
from oatlink.core.commands import find_command, idempotency_key, slot_of
from oatlink.core.engine import Engine
from oatlink.core.recording import Recorder, Recording, replay
from oatlink.core.redact import Redactor, hash_tag_for
from oatlink.settings.model import Users
from tests.test_engine import KEY, OTHER, OWN, PLAIN, SETTINGS, Rig, info, sent
from tests.test_recording import traced

HASHED = msgspec.structs.replace(SETTINGS, record_redact="keys")
KEYS = st.one_of(
    st.binary(min_size=1, max_size=20),
    st.binary(max_size=9).map(lambda suffix: b"v:" + suffix),
    st.binary(max_size=9).map(lambda tag: b"o:{" + tag + b"}x"),
)
COMMANDS = st.one_of(
    st.tuples(st.just(b"GET"), KEYS),
    st.tuples(st.just(b"SET"), KEYS, st.binary(max_size=30)),
    st.tuples(st.just(b"MGET"), KEYS, KEYS),
    st.tuples(
        st.just(b"XADD"),
        KEYS,
        st.just(b"IDMP"),
        st.just(b"me"),
        st.binary(min_size=1, max_size=9),
        st.just(b"*"),
        st.just(b"f"),
        st.just(b"v"),
    ),
    st.tuples(st.just(b"EVAL"), st.just(b"return 1"), st.just(b"1"), KEYS, st.just(b"secret")),
    st.tuples(st.just(b"XREAD"), st.just(b"STREAMS"), KEYS, st.just(b"0")),
)


@given(COMMANDS.map(list))
def test_a_redacted_command_is_routed_like_the_original(args: list[bytes]) -> None:
    spec = find_command(args[0])
    assert spec is not None
    redacted = Redactor(HASHED).redact_command(args)
    assert len(redacted) == len(args)
    keys, hashed_keys = spec.keys(args), spec.keys(redacted)
    assert [slots_of([key]) for key in keys] == [slots_of([key]) for key in hashed_keys]
    classifier = Classifier(SETTINGS)
    assert classifier.class_of(spec, args, keys, "", "") is classifier.class_of(spec, redacted, hashed_keys, "", "")
    assert (idempotency_key(spec, args) is None) is (idempotency_key(spec, redacted) is None)


def test_no_data_of_a_client_remains() -> None:
    redacted = Redactor(HASHED).redact_command([b"SET", b"v:customer-17", b"balance 100"])
    assert b"customer" not in redacted[1] and redacted[1].startswith(b"v:") and redacted[2] == b""
    for args in ([b"AUTH", b"user", b"password"], [b"HELLO", b"3", b"AUTH", b"user", b"password"], [b"AUTH", b"x"]):
        recorded = Redactor(SETTINGS).redact_input(m.CommandReceived(1, args))
        assert isinstance(recorded, m.CommandReceived) and not {b"user", b"password", b"x"} & set(recorded.args)


def test_no_password_is_recorded_and_logins_still_replay() -> None:
    users = (Users("teller", "topsecret"), Users("default", "other-secret"))
    settings = msgspec.structs.replace(SETTINGS, users=users)
    recorder = Recorder("test", settings, 1_000_000_000)
    rig = Rig(settings)
    with traced(recorder) as frames:
        rig.engine = Engine(settings, rig.now)
        rig.give(m.Opened(1))
        answers = []
        for words in (
            ("AUTH", "teller", "wrong-one"),
            ("AUTH", "topsecret"),
            ("HELLO", 3, "AUTH", "teller", "topsecret"),
            ("AUTH", "other-secret"),
            ("AUTH", "teller"),
        ):
            rig.ask(*words)
            answers.append(rig.text()[:1])
        rig.give(m.Reloaded(msgspec.structs.replace(settings, users=(Users("teller", "newsecret"),))))
        rig.ask("AUTH", "teller", "topsecret")
        rig.ask("AUTH", "teller", "newsecret")
        answers += [rig.text()[:1]]
    assert answers == [b"-", b"-", b"%", b"+", b"-", b"-"]
    data = b"".join(frames)
    assert b"secret" not in data and b"wrong-one" not in data
    recording = Recording(data)
    assert replay(recording.header, recording.entries()).differences == 0


def test_every_slot_has_a_tag() -> None:
    for slot in range(0, 16_384, 997):
        assert slot_of(hash_tag_for(slot)) == slot


def test_a_redacted_recording_replays_without_a_difference() -> None:
    recorder = Recorder("test", HASHED, 1_000_000_000)
    with traced(recorder) as frames:
        rig = Rig()
        for number in range(60):
            send = rig.ask(
                *[
                    ("GET", KEY),
                    ("SET", PLAIN, "topsecret"),
                    ("XADD", PLAIN, "IDMP", "me", number, "*", "f", "topsecret"),
                ][number % 3]
            )
            if send is not None:
                rig.end(send, [b"$9\r\ntopsecret\r\n"], how="reset" if number % 7 == 0 else "reply")
            if number == 30:
                rig.says["p"], rig.says["r"] = b"", info("primary", 100, "h2", "r", "h1", 101)
            rig.pass_us(40_000)
    data = b"".join(frames)
    assert b"topsecret" not in data and KEY.encode() not in data.split(b"key_pattern")[0][len(recorder.header) :]
    recording = Recording(data)
    replayed = replay(recording.header, recording.entries())
    assert replayed.inputs > 100 and replayed.differences == 0, replayed.first


def test_a_part_that_begins_with_secrets_in_the_state_contains_none_of_them_and_replays() -> None:
    rig = Rig(HASHED)
    first = sent(rig.ask("SET", PLAIN, "topsecret"))
    rig.ask("GET", PLAIN)  # waits for the write; answered by a request that the snapshot contains
    rig.ask("MULTI", client=2)
    rig.ask("SET", OWN, "topsecret", client=2)
    rig.end(
        sent(rig.ask("GET", OTHER)), [b"$9\r\ntopsecret\r\n"]
    )  # its answer waits for those of the commands before it
    recorder = Recorder("test", HASHED, rig.now, engine=rig.engine)
    with traced(recorder) as frames:
        rig.end(first, [b"+OK\r\n"])
        rig.end(rig.sent[-1], [b"$9\r\ntopsecret\r\n"])
        rig.end(sent(rig.ask("EXEC", client=2)), [b"+OK\r\n", b"+QUEUED\r\n", b"*1\r\n+OK\r\n"])
    assert rig.text().count(b"topsecret") == 2 and rig.text(2).endswith(b"+OK\r\n")
    data = b"".join(frames)
    assert b"topsecret" not in data and OWN.encode() not in data
    recording = Recording(data)
    assert recording.header.snapshot
    replayed = replay(recording.header, recording.entries())
    assert replayed.inputs == 4 and replayed.differences == 0, replayed.first
