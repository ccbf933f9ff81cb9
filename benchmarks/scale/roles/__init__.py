"""The roles: a module each, with its rows."""

from benchmarks.scale.roles import control, database, discovery, fleet, machines, platform, resp

ROLES = {
    "Gateway on the platform": platform.ROWS,
    "RESP gateway without a fleet": resp.ROWS,
    "RESP gateway with a fleet, on top": fleet.ROWS,
    "Keeper": machines.KEEPER,
    "Home of a shard of limits": machines.HOME,
    "Sequencer": machines.SEQUENCER,
    "The six machines": control.ROWS,
    "Discovery, as its callers see it": discovery.ROWS,
    "A database, as it sees all gateways": database.ROWS,
}
