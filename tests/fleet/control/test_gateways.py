"""Gateways in the stream of control: what operators are told and may say, and that clients are served as without it."""

from typing import Any

from oatlink.protocols.resp import decode
from tests.fleet.life_world import Client, Gateway, World, lived
from tests.scenes import scene


def part(world: World, at: int) -> dict[str, Any]:
    """Gateways 0 to 2 are sources; 3 takes the stream."""
    addresses = [f"127.0.0.1:{port}" for port in world.ports]
    sources = [{"name": f"g{n}", "address": addresses[n], "keeper": True} for n in range(3)]
    own = sources[at] if at < 3 else {"name": f"g{at}", "address": addresses[at]}
    control = {"sources": sources, "region": "north", "zone": "n1", "groups": ["blue"]}
    return {"nodes": [own], "tenants": [], "routes": {}, "control": control}


async def said(at: Gateway, *words: str) -> str:
    """What the gateway answers an operator."""
    one = await Client.to(at.admin)
    try:
        answer = await one.ask(*words)
    finally:
        one.close()
    value = decode(answer)
    return value.decode() if isinstance(value, bytes) else answer.decode()


@scene(lived)
async def test_an_operators_change_reaches_a_gateway_and_bad_commands_get_one_line(world: World) -> None:
    world.changed = {at: part(world, at) for at in range(4)}
    sources = await world.started(0, 1, 2)
    (reader,) = await world.started(3)
    assert await said(sources[0], "CONTROL", "PUT", "all", "group/blue", "1") == "all is at version 1"
    for one in sources:
        await one.shows(lambda rows: "group/blue=" in rows["scopes"])
    assert await said(sources[1], "CONTROL", "PUT", "group/blue", "k", '{"a": 1}') == "group/blue is at version 1"
    await reader.shows(lambda rows: "group/blue=0/1" in rows["control"])
    rows = await reader.shows(lambda rows: "behind" not in rows["control"])  # with the first beat after it
    assert "upstream g" in rows["control"] and "bytes_out=" in rows["links"]
    assert "control: " in await said(reader, "CONTROL", "STATUS")
    assert "group/blue is at version 0.1" in await reader.told("control", 2)

    for words, why in (
        (("PUT", "group/blue", "k", "2", "7"), "refused: made for version 7, now 1"),
        (("PUT", "group/blue", "k", "{"), "refused: 'k': expected JSON"),
        (("PUT",), "refused: expected CONTROL STATUS"),
    ):
        answer = await said(sources[1], "CONTROL", *words)
        assert answer.startswith(why) and "\n" not in answer
    assert (await said(reader, "CONTROL", "PUT", "all", "k", "1")).startswith("refused: no source")
    assert "no versions in the fleet's settings" in await said(reader, "LAYOUT", "STATUS")
    assert (await said(reader, "CONTROL", "1", "2", "3", "4", "5", "6")).startswith("-ERR not served")
    client = await Client.to(reader.port)
    assert (await client.ask("SET", "k", "v")).startswith(b"+OK") and await client.ask("GET", "k") == b"$1\r\nv\r\n"
    client.close()
    assert [await one.end() for one in (reader, *sources)] == [0] * 4


@scene(lived)
async def test_without_control_settings_the_command_is_refused(world: World) -> None:
    with_fleet, without = world.gateway(0), world.gateway(1, fleet=False)
    for one, answer in ((with_fleet, "no control in the fleet's settings"), (without, "-ERR no fleet in the settings")):
        await one.start()
        assert (await said(one, "CONTROL", "STATUS")).startswith(answer)
        assert not one.said("control") and (one is with_fleet or not one.state.exists())
