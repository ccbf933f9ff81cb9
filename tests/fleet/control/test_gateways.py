"""Tests gateways in the stream of control.

Covers operators' commands and status, and that clients are served as without the stream.
"""

from typing import Any

from oatlink.protocols.resp import decode
from tests.fleet.life_world import Client, Gateway, World, lived
from tests.scenes import scene


def fleet_settings(world: World, number: int) -> dict[str, Any]:
    """Return the fleet settings of a gateway: gateways 0 to 2 are sources, 3 is a reader."""
    addresses = [f"127.0.0.1:{port}" for port in world.ports]
    sources = [{"name": f"g{source}", "address": addresses[source], "keeper": True} for source in range(3)]
    own = sources[number] if number < 3 else {"name": f"g{number}", "address": addresses[number]}
    control = {"sources": sources, "region": "north", "zone": "n1", "groups": ["blue"]}
    return {"nodes": [own], "tenants": [], "routes": {}, "control": control}


async def answer_of(gateway: Gateway, *words: str) -> str:
    """Return a gateway's answer to an operator."""
    client = await Client.to(gateway.admin)
    try:
        answer = await client.ask(*words)
    finally:
        client.close()
    value = decode(answer)
    return value.decode() if isinstance(value, bytes) else answer.decode()


@scene(lived)
async def test_an_operators_change_reaches_a_gateway_and_bad_commands_get_one_line(world: World) -> None:
    world.changed = {number: fleet_settings(world, number) for number in range(4)}
    sources = await world.started(0, 1, 2)
    (reader,) = await world.started(3)
    assert await answer_of(sources[0], "CONTROL", "PUT", "all", "group/blue", "1") == "all is at version 1"
    for gateway in sources:
        await gateway.shows(lambda rows: "group/blue=" in rows["scopes"])
    assert await answer_of(sources[1], "CONTROL", "PUT", "group/blue", "k", '{"a": 1}') == "group/blue is at version 1"
    await reader.shows(lambda rows: "group/blue=0/1" in rows["control"])
    rows = await reader.shows(lambda rows: "behind" not in rows["control"])  # with the first beat after the change
    assert "upstream g" in rows["control"] and "bytes_out=" in rows["links"]
    assert "control: " in await answer_of(reader, "CONTROL", "STATUS")
    assert "group/blue is at version 0.1" in await reader.told("control", 2)

    for words, reason in (
        (("PUT", "group/blue", "k", "2", "7"), "refused: made for version 7, now 1"),
        (("PUT", "group/blue", "k", "{"), "refused: 'k': expected JSON"),
        (("PUT",), "refused: expected CONTROL STATUS"),
    ):
        answer = await answer_of(sources[1], "CONTROL", *words)
        assert answer.startswith(reason) and "\n" not in answer
    assert (await answer_of(reader, "CONTROL", "PUT", "all", "k", "1")).startswith("refused: no source")
    assert "no versions in the fleet's settings" in await answer_of(reader, "LAYOUT", "STATUS")
    assert (await answer_of(reader, "CONTROL", "1", "2", "3", "4", "5", "6")).startswith("-ERR not served")
    client = await Client.to(reader.port)
    assert (await client.ask("SET", "k", "v")).startswith(b"+OK") and await client.ask("GET", "k") == b"$1\r\nv\r\n"
    client.close()
    assert [await gateway.end() for gateway in (reader, *sources)] == [0] * 4


@scene(lived)
async def test_without_control_settings_the_command_is_refused(world: World) -> None:
    with_fleet, without = world.gateway(0), world.gateway(1, fleet=False)
    for gateway, answer in (
        (with_fleet, "no control in the fleet's settings"),
        (without, "-ERR no fleet in the settings"),
    ):
        await gateway.start()
        assert (await answer_of(gateway, "CONTROL", "STATUS")).startswith(answer)
        assert not gateway.said("control") and (gateway is with_fleet or not gateway.state.exists())
