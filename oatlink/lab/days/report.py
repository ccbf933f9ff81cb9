"""The report of a run, for people and programs."""

from dataclasses import dataclass, field

from oatlink.audit.invariants import CheckResult


@dataclass(slots=True)
class Report:
    """What the invariant checker and the harness found in one run."""

    result: CheckResult
    elections: int = 0
    steps: list[str] = field(default_factory=list)
    gateway_codes: list[int] = field(default_factory=list)
    harness_lag_ms: float = 0.0

    @property
    def kept(self) -> bool:
        """Whether no invariant was violated."""
        return self.result.passed

    def as_json(self) -> dict[str, object]:
        """Return the report in its documented JSON form."""
        result = self.result
        share = result.bounded_at_replicas / result.bounded_reads if result.bounded_reads else 0.0
        return {
            "requests": result.requests,
            "served": result.served,
            "refused": result.refused,
            "failed": result.failed,
            "unanswered": result.unanswered,
            "lost_with_gateways": result.lost_with_gateways,
            "answered_twice": result.answered_twice,
            "ran_twice": result.ran_twice,
            "stale_reads": result.stale_reads,
            "stalest_us": result.stalest_us,
            "late": result.late,
            "bounded_reads": result.bounded_reads,
            "bounded_at_replicas": round(share, 3),
            "slowest_served_post_us": result.slowest_served_post_us,
            "in_time": {
                name: round(result.in_time_by_kind[name] / count, 3) for name, count in result.requests_by_kind.items()
            },
            "elections": self.elections,
            "steps": self.steps,
            "harness_lag_ms": round(self.harness_lag_ms, 1),
            "gateway_exit_codes": self.gateway_codes,
            "violations": result.violation_counts(),
            "examples": {rule: texts[:3] for rule, texts in result.violations.items() if texts},
        }
