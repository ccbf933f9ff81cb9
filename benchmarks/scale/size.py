"""The size that is designed for, as numbers that a command line can change, and what is allowed there."""

from dataclasses import dataclass

DAY_S = 86_400
WARM_S = 60.0  # how long a database that has started counts as cold: assumed, the deployment's settings say it
IDLE_S = 13.5  # a connection to a database is closed after 15 s without use, less a tenth
WATCH_S = 2.5  # what a watch of discovery waits, and over what a start is spread
BURST_FLOOR = 0.2  # of a tenant's burst, which is divided over the nodes

# Stated in the size's terms, each gateway's for control.
CPU_MS_PER_S = 38.0
BYTES_PER_S = 3_000.0  # both directions together, in any second: assumed
MEMORY_MB = 64.0
IN_FORCE_S = 5.0
PRIMARY_S = 15.0
# Assumed, where the terms leave it open (see the page and docs/questions.md).
CORE_MS_PER_S = 1_000.0  # a process of a role has one core of its machine
MACHINE_BYTES_PER_S = 125_000_000.0  # 1 Gbit/s
DESCRIPTORS = 65_536.0
DATABASE_CONNECTIONS = 5_000.0
CHECKS_SHARE = 0.05  # of a database's statements
STILL_MS = 20.0  # for which the loop may stand still: the Router's own tick


@dataclass(frozen=True, slots=True)
class Size:
    """The users' figures, and what is assumed beside them.

    `tenants`: active at every gateway; `bounded`: share of statements that are reads with a bound; `rack`: databases;
    `fan_out`, `levels`: of the relays that will carry the stream of control.
    """

    gateways: float = 3_600
    databases: float = 7_200
    clients: float = 13_000_000
    statements: float = 6_600_000
    regions: float = 5
    zones: float = 19
    group: float = 12
    replaced: float = 1_900
    changes: float = 6_100
    tenants: float = 20
    bounded: float = 1.0
    rack: float = 40
    fan_out: float = 60
    levels: float = 2

    def check(self) -> None:
        """Raise `ValueError` naming the first figure that makes no sense."""
        for name in self.__slots__:
            if getattr(self, name) <= 0:
                raise ValueError(f"{name}: expected a number above 0")

    @property
    def rate(self) -> float:
        """Statements a second at one gateway."""
        return self.statements / self.gateways

    @property
    def pair_rate(self) -> float:
        """Statements a second from one gateway at one database."""
        return self.rate / self.databases

    @property
    def groups(self) -> float:
        """Groups of databases."""
        return self.databases / self.group

    @property
    def cold(self) -> float:
        """Databases that are cold at any moment of an ordinary day, where databases and gateways are replaced alike."""
        return self.replaced * self.databases / (self.gateways + self.databases) * WARM_S / DAY_S
