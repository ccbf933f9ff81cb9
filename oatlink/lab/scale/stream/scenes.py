"""What befalls a fleet on the stream of control: each `scene(order) -> Finding` begins with a common start of all.

Without the stream ("today") the same tables say what the seam says: no change is in force at any gateway.
"""

from collections.abc import Callable
from random import Random

from oatlink.fleet.messages import control as c
from oatlink.lab.scale.carrier import NoCarrier, Scope
from oatlink.lab.scale.judge import Finding, Waits
from oatlink.lab.scale.size import REGIONS, ZONES, zones_of
from oatlink.lab.scale.stage import Order
from oatlink.lab.scale.stream.carrier import BAD
from oatlink.lab.scale.stream.play import BODY, EVERYBODY, Play
from oatlink.lab.scale.stream.processes import SourceProcess
from oatlink.lab.scale.tally import SECOND_US

QUIET = (EVERYBODY, Scope("region", 1), Scope("zone", 3), Scope("group", 4))
TIMES = 3
LOST_ZONE, RETURNING_ZONE, REGION = 2, 7, 2  # in the first stands one of the six
HALF = tuple(range(1, ZONES, 2))  # nine of the 19 zones, with three of the six and two of the five keepers
REPLAYS, TWIN = 5, 6
A_DAY, DAY_S = 6_100, 86_400
QUIET_NAME = "one change of a {}, quiet"
RELAY, AGREED, TOLD = "relay killed with the change", "source killed once agreed", "source killed once it told one"
ZONE_LOST, HALF_CUT = "a zone and one of the six lost", "half of the fleet cut off for 12 s"
REPLAYED, TWINS, RACE = "old news said again", "two under one name", "two changes at once"
AWAY = "changes while a {} is cut off"


def events(order: Order) -> Finding:
    """A common start, an idle fleet, one change each in the quiet and in the middle of what happens."""
    if order.carrier is NoCarrier:
        names = [QUIET_NAME.format(one.kind) for one in QUIET]
        return _today(
            "control events", order, [*names, RELAY, AGREED, TOLD, ZONE_LOST, HALF_CUT, RACE, REPLAYED, TWINS]
        )
    play = Play("control events", order.size, order.seed, order.meter)
    _start(play)
    play.run(1 if order.brief else 10)
    play.rates("idle", 4 if order.brief else 20)
    play.memory()
    for scope in QUIET:
        event = QUIET_NAME.format(scope.kind)
        for _ in range(1 if order.brief else TIMES):
            play.stream.change(event, scope, BODY)
            play.until(lambda event=event: not play.truth.lacks(event), 5.0)  # type: ignore[misc]
            play.run(1.3)
        play.wait_for(event)
    relay_killed(play)
    back(play)
    source_killed(play, AGREED)
    back(play)
    if not order.brief:
        source_killed(play, TOLD)
        back(play)
        _zone_lost(play)
        _half(play)
    _race(play)
    _bad(play)
    _old_news(play)
    _twins(play)
    return _end(play, order)


def returns(order: Order) -> Finding:
    """A zone and then a region are cut off, changes go on, and both come back."""
    return _returns("control return", order, 4 if order.brief else 20, 6 if order.brief else 60, 10)


def hour(order: Order) -> Finding:
    """A region is cut off for an hour, with a change each 14 s; for small fleets, as it takes an hour of beats."""
    return _returns("control hour", order, 0, 10 if order.brief else 3_600, 14)


def minute(order: Order) -> Finding:
    """6,100 changes in a minute; of larger fleets ten seconds of it."""
    seconds = 2 if order.brief else 60 if order.size.gateways <= 900 else 10
    return _many("control minute", order, seconds, A_DAY * seconds // 60)


def day(order: Order) -> Finding:
    """6,100 changes in a day; some minutes of it."""
    seconds = 10 if order.brief else 600 if order.size.gateways <= 900 else 120
    return _many("control day", order, seconds, max(1, A_DAY * seconds // DAY_S))


SCENES: dict[str, Callable[[Order], Finding]] = {
    "control-events": events,
    "control-return": returns,
    "control-hour": hour,
    "control-minute": minute,
    "control-day": day,
}


# ---- Parts ----


def _today(name: str, order: Order, names: list[str]) -> Finding:
    found = Finding(name, order.size.gateways, order.size.databases, order.seed, "today", "no carrier", 0.0)
    for one in names:
        waits = Waits()
        waits.expect(one, order.size.gateways)
        found.in_force.append(waits.judged(one))
    return found


def _end(play: Play, order: Order) -> Finding:
    if order.cost is not None:
        order.cost.update(play.cost)
    return play.finish()


def _start(play: Play) -> None:
    event = "offered as all start at once"
    since_s = play.second + 1
    play.start_all()
    play.stream.change(event, EVERYBODY, BODY)
    took_s = play.until(lambda: play.well(play.gateways), 180.0)
    play.found.in_force.append(play.truth.judged(event))
    play.note("start: s until all have a place and all versions", -1.0 if took_s is None else took_s)
    play.worst("start", since_s)
    play.note("start: ms that a source has told somebody to wait, at most", play.stream.most_wait_ms())
    for reason, count in sorted(play.stream.refusals().items()):
        play.note(f"start: refused for '{reason}'", count)


def back(play: Play) -> None:
    """Until all is well again, and the next event meets a settled fleet."""
    play.until(lambda: play.well(play.gateways), 60.0, 0.5)
    play.run(3)


def relay_killed(play: Play) -> None:
    """The relay with the most children is lost as the change comes to it."""
    play.note(f"{RELAY}: its children", play.a_relay().core.children)
    relay = play.a_relay()
    relay.kills_itself_at = "all"
    play.stream.change(RELAY, EVERYBODY, BODY, frozenset((relay.number,)))
    play.wait_for(RELAY)
    relay.kills_itself_at = ""
    relay.start()


def source_killed(play: Play, event: str) -> None:
    """The source where a change is offered is lost, once it is agreed or once it has told one other."""
    source = play.stream.source()
    source.dies_when = "agreed" if event == AGREED else "told"
    play.stream.change(event, EVERYBODY, BODY, at=source)
    play.wait_for(event)
    if source.up:
        play.truth.breaks(f"{event}: it was not killed")
        source.stop()
    source.dies_when = ""
    source.start()


def _zone_lost(play: Play) -> None:
    inside = frozenset(one.number for one in play.inside((LOST_ZONE,)))
    play.plan.zones_lost[LOST_ZONE] = play.time.now, play.time.now + 20 * SECOND_US
    play.run(0.1)
    play.stream.change(ZONE_LOST, EVERYBODY, BODY, inside)
    play.wait_for(ZONE_LOST)
    play.until(lambda: play.time.now >= play.plan.zones_lost[LOST_ZONE][1], 30.0)
    back(play)


def _half(play: Play) -> None:
    until_us = play.time.now + 12 * SECOND_US
    for zone in HALF:
        play.plan.zones_lost[zone] = play.time.now, until_us
    play.run(1)
    play.stream.change(HALF_CUT, EVERYBODY, BODY)
    play.wait_for(HALF_CUT, 60.0)
    back(play)


def _race(play: Play) -> None:
    """Two sources offer a change of one scope in the same moment: both are agreed, one after the other."""
    first, second = [one for one in play.stream.sources if one.up][:2]
    play.stream.change(RACE, EVERYBODY, BODY, at=first, key="config/one")
    play.stream.change(RACE, EVERYBODY, BODY, at=second, key="config/two")
    play.wait_for(RACE)


def _bad(play: Play) -> None:
    """A change that the check does not let pass: refused, and nothing has changed."""
    was, source = play.truth.newest("all"), play.stream.source()
    ticket = play.stream.put("all", (c.Entry("config/bad", BAD),), source)
    play.run(1)
    if not source.replied.get(ticket, "").startswith("refused") or play.truth.newest("all") != was:
        play.truth.breaks(f"a bad change: {source.replied.get(ticket, 'no reply')}")


def _old_news(play: Play) -> None:
    play.run(1)
    play.stream.replay(REPLAYS)
    before = play.second
    for _ in range(4):
        play.stream.change(REPLAYED, EVERYBODY, BODY, frozenset((REPLAYS,)))
        play.run(2)
    play.wait_for(REPLAYED)
    play.worst(REPLAYED, before, ())
    play.stream.gateways[REPLAYS].stop()
    play.run(3)


def _twins(play: Play) -> None:
    before = play.stream.refusals()["twice"]
    play.stream.twin(TWIN)
    for _ in range(6):
        play.stream.change(TWINS, EVERYBODY, BODY)
        play.run(2.5)
    play.wait_for(TWINS)
    refused = play.stream.refusals()["twice"] - before
    play.note(f"{TWINS}: refused", refused)
    if not refused:
        play.truth.breaks("two under one name, and neither is refused")


def _returns(name: str, order: Order, zone_s: int, region_s: int, each_s: int) -> Finding:
    parts = [("zone", (RETURNING_ZONE,), zone_s), ("region", zones_of(REGION), region_s)]
    parts = [one for one in parts if one[2]]
    if order.carrier is NoCarrier:
        return _today(name, order, [AWAY.format(kind) for kind, _, _ in parts])
    play = Play(name, order.size, order.seed, order.meter)
    _start(play)
    play.run(5)
    for kind, zones, seconds in parts:
        _cut_off(play, kind, zones, seconds, each_s)
    return _end(play, order)


def _cut_off(play: Play, kind: str, zones: tuple[int, ...], seconds: int, each_s: int) -> None:
    inside, event = play.inside(zones), AWAY.format(kind)
    back_us = play.time.now + seconds * SECOND_US
    if kind == "zone":
        play.plan.zones_lost[zones[0]] = play.time.now, back_us
    else:
        play.plan.regions_cut[REGION] = play.time.now, back_us
    numbers = frozenset(one.number for one in inside)
    while play.time.now < back_us:
        play.stream.change(event, EVERYBODY, BODY, numbers)
        play.run(min(each_s, (back_us - play.time.now) / SECOND_US))
    play.note(f"{kind}: gateways cut off", len(inside))
    ages = [one.core.age_us(one.now) / SECOND_US for one in inside]
    play.note(f"{kind}: s that the youngest word inside is old, before the return", min(ages))
    since_s = play.second
    took_s = play.until(lambda: play.well(inside), 120.0)
    play.note(f"{kind}: s until all inside have all again", -1.0 if took_s is None else took_s)
    play.worst(f"{kind} back", since_s)
    play.note(f"{kind} back: ms that a source has told somebody to wait, at most", play.stream.most_wait_ms())
    play.wait_for(event)
    play.run(5)


def _many(name: str, order: Order, seconds: int, count: int) -> Finding:
    event = f"{count} changes over {seconds} s"
    if order.carrier is NoCarrier:
        return _today(name, order, [event])
    play = Play(name, order.size, order.seed, order.meter)
    _start(play)
    play.run(5)
    draw = Random(f"{order.seed}/{name}")
    since_s = play.second
    began = play.time.now
    for number in range(count):
        at_us = began + (number * seconds * SECOND_US + draw.randrange(seconds * SECOND_US)) // count
        scope, source = _scope(draw), draw.choice(play.stream.sources)
        play.time.at(at_us, _offer, play, event, scope, source, f"config/{number % 50}")
    play.rates(name, seconds)
    play.wait_for(event, 60.0)
    play.worst(name, since_s)
    lost = [text for one in play.stream.sources for text in one.replied.values() if not _agreed(text)]
    play.note(f"{name}: changes that a source has not taken", len(lost))
    play.found.notes += sorted({f"a source's answer: {text}" for text in lost})[:4]
    return _end(play, order)


def _offer(play: Play, event: str, scope: Scope, source: SourceProcess, key: str) -> None:
    play.stream.change(event, scope, BODY, at=source, key=key)


def _agreed(text: str) -> bool:
    return " is at version " in text


def _scope(draw: Random) -> Scope:
    kind = draw.choice(("all", "all", "region", "zone"))
    if kind == "all":
        return EVERYBODY
    return Scope(kind, draw.randrange(REGIONS if kind == "region" else ZONES))
