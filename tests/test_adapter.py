"""The adapter as a process: its wire protocol, malformed input and the deploy file."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parents[1]
OPTIONS: dict[str, Any] = {
    "Classes": [
        {
            "Name": "post",
            "DeadlineUs": 3_000_000,
            "GoalTimeUs": 1_000_000,
            "Effect": "deduplicated",
            "Gain": 6.0,
            "Group": "cell",
            "WindowUs": 2_000_000,
        },
        {"Name": "view", "DeadlineUs": 2_000_000, "GoalTimeUs": 600_000, "Effect": "idempotent", "Gain": 2},
    ],
    "FamilyInfo": {
        "Freshness": ["update", "recent"],
        "LagAllowedUs": [0, 500_000],
        "BaseTimeUs": 1_000_000,
        "ServerChecks": "off",
        "SessionMarks": "client",
        "AnswersStamped": False,
    },
    "Discovery": "ask",
    "Zone": "a",
    "Zones": ["a"],
    "PeersTotal": 2,
    "StepUs": 5_000,
    "SomethingNew": {"x": 1},
    "Limits": {
        "MayProbe": True,
        "Cancel": True,
        "SecondCopies": True,
        "RetryAfter": True,
        "MaxRetryAfterUs": 1_000_000,
    },
    "Obligations": {"AskWithinUs": 10_000_000, "ColdShare": 0.2, "WarmAfterUs": 10_000_000},
}


def boot(gateway: str = "gateway_0") -> dict[str, Any]:
    return {"event_type": "Boot", "GatewayId": gateway, "Nonce64": 2**64 - 1, "Options": OPTIONS}


def roster_events(gateway: str = "gateway_0", bank: int = 0) -> list[dict[str, Any]]:
    """A roster list of two members and the discovery result that refers to it."""
    lines = [
        {
            "Server": 11,
            "Locality": "a",
            "Sku": "k",
            "Group": 1,
            "Health": "Ready",
            "IsPrimary": 1,
            "PowerHint": 1,
        },
        {
            "Server": 12,
            "Locality": "a",
            "Sku": "k",
            "Group": 1,
            "Health": "Ready",
            "IsPrimary": 0,
            "Extra": 3,
        },
    ]
    return [
        {"event_type": "Roster", "Bank": bank, "Lines": lines},
        {"event_type": "Membership", "GatewayId": gateway, "Mode": "disk", "Bank": bank, "Generation": 1},
    ]


def job_in(gateway: str = "gateway_0", request: str = "r1", kind: str = "post") -> dict[str, Any]:
    return {
        "event_type": "JobIn",
        "GatewayId": gateway,
        "Rid": request,
        "Qos": kind,
        "Shard": 1,
        "ExpiresInUs": 900_000,
        "Bitmap": 4,
    }


def sampled(server: int, primary: int) -> dict[str, Any]:
    return {
        "event_type": "Sampled",
        "GatewayId": "gateway_0",
        "Server": server,
        "Ending": "GOOD",
        "DurationUs": 900,
        "Metrics": {"x0": 8.5, "x1": primary},
    }


def run(*batches: Any, raw: bytes | None = None) -> tuple[int, list[list[dict[str, Any]]], str]:
    """Run the adapter on batches, or on `raw` input; return its status, replies and standard error."""
    lines = [
        json.dumps({"NowUs": 10_000_000 + 5_000 * number, "events": events}) for number, events in enumerate(batches)
    ]
    data = raw if raw is not None else "".join(line + "\n" for line in lines).encode()
    completed = subprocess.run([sys.executable, "-m", "oatlink.adapter"], cwd=ROOT, input=data, capture_output=True)
    return (
        completed.returncode,
        [json.loads(line)["do"] for line in completed.stdout.splitlines()],
        completed.stderr.decode(),
    )


def event_types(actions: list[dict[str, Any]]) -> list[str]:
    return [action["event_type"] for action in actions]


def test_a_request_is_sent_after_boot_roster_and_checks() -> None:
    status, replies, _ = run([], [boot(), *roster_events()], [job_in()], [sampled(12, 0), sampled(11, 1)])
    assert status == 0 and replies[0] == []
    assert "Follow" in event_types(replies[1])
    assert event_types(replies[2]).count("Sample") == 2
    (sent,) = [action for action in replies[3] if action["event_type"] == "Dispatch"]
    assert sent == {"event_type": "Dispatch", "GatewayId": "gateway_0", "Rid": "r1", "Server": 11}


def test_answer_notes_and_load_reports_share_one_unit() -> None:
    """A read goes to the primary after a replica reported 8.5 s, and to the replica after it reported 9.0 s."""
    view = job_in(request="r2", kind="view")
    served = {
        "event_type": "AttemptEnd",
        "GatewayId": "gateway_0",
        "Rid": "r0",
        "Server": 12,
        "Ending": "GOOD",
        "Hop": 0,
        "Over": True,
        "PosRole": 4 * 8_900 + 2,
    }
    _, replies, _ = run([boot(), *roster_events()], [job_in()], [sampled(12, 0), sampled(11, 1)], [served], [view])
    (sent,) = [action for action in replies[4] if action["event_type"] == "Dispatch"]
    assert sent["Server"] == 11
    served["PosRole"] = 4 * 9_000 + 2
    sampled_now = sampled(12, 0) | {"Metrics": {"x0": 9.0, "x1": 0}}
    _, replies, _ = run([boot(), *roster_events()], [job_in()], [sampled_now, sampled(11, 1)], [view])
    (sent,) = [action for action in replies[3] if action["event_type"] == "Dispatch"]
    assert sent["Server"] == 12


def test_an_instance_restarts_within_a_batch_and_a_list_number_is_reused() -> None:
    halt = {"event_type": "Halt", "GatewayId": "gateway_0"}
    status, replies, _ = run(
        [boot(), *roster_events(), halt, boot(), *roster_events(), *roster_events("gateway_0", 0)], [job_in()]
    )
    assert status == 0 and "Sample" in event_types(replies[1])


def test_instances_share_nothing() -> None:
    _, replies, _ = run(
        [boot(), *roster_events(), boot("gateway_1"), *roster_events("gateway_1")],
        [job_in()],
        [sampled(12, 0), sampled(11, 1)],
        [job_in("gateway_1", "r9")],
    )
    assert "Dispatch" not in event_types(replies[3]) and "Sample" in event_types(replies[3])


def test_a_batch_of_3000_requests_gets_one_reply() -> None:
    status, replies, _ = run([boot(), *roster_events()], [job_in(request=f"r{number}") for number in range(3_000)])
    assert status == 0 and len(replies) == 2


@pytest.mark.parametrize(
    "raw",
    [
        b"not json\n",
        b'{"NowUs":1}\n',
        b'{"NowUs":"x","events":[]}\n',
        b'{"NowUs":1,"events":[{"event_type":"Riddle","GatewayId":"gateway_0"}]}\n',
        b'{"NowUs":1,"events":[{"event_type":"Fired","GatewayId":"gateway_7","Cookie":"x"}]}\n',
        b'{"NowUs":1,"events":[{"event_type":"Fired","GatewayId":7,"Cookie":"x"}]}\n',
    ],
)
def test_malformed_input_ends_the_adapter_with_one_line_on_standard_error(raw: bytes) -> None:
    status, replies, error = run(raw=raw)
    assert status != 0 and not replies
    assert error.count("\n") == 1 and "Traceback" not in error


def test_an_invalid_setting_is_named_in_the_error() -> None:
    broken = boot()
    broken["Options"] = OPTIONS | {"PeersTotal": 0}
    status, _, error = run([broken])
    assert status != 0 and "peers" in error and error.count("\n") == 1


def test_a_fault_in_the_routing_rules_is_reported_on_the_wire() -> None:
    _, replies, error = run([boot(), *roster_events()], [job_in(kind="no such class")])
    assert event_types(replies[1]) == ["InternalError"] and "KeyError" in error


def test_empty_input_is_no_error() -> None:
    assert run(raw=b"")[0] == 0


def test_deploy_file_names_existing_modules() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    assert deploy["policy"] == sorted(
        str(file.relative_to(ROOT)) for file in (ROOT / "oatlink" / "rules").rglob("*.py")
    )
    assert deploy["sim"].endswith("-m oatlink.adapter") and "requirements.txt" in deploy["build"]


def test_pyproject_and_requirements_pin_the_same_packages() -> None:
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    assert project["dependencies"] == (ROOT / "requirements.txt").read_text().split()
