"""What came of a day, as people and programs read it."""

from dataclasses import dataclass, field

from oatlink.audit.invariants import CheckResult


@dataclass(slots=True)
class Report:
    """What came of a day."""

    verdict: CheckResult
    elections: int = 0
    steps: list[str] = field(default_factory=list)
    gateway_codes: list[int] = field(default_factory=list)
    lag_of_harness_ms: float = 0.0

    @property
    def kept(self) -> bool:
        """Whether every rule was kept."""
        return self.verdict.passed

    def as_json(self) -> dict[str, object]:
        """The documented JSON."""
        verdict = self.verdict
        share = verdict.bounded_at_replicas / verdict.bounded_reads if verdict.bounded_reads else 0.0
        return {
            "requests": verdict.requests,
            "served": verdict.served,
            "refused": verdict.refused,
            "failed": verdict.failed,
            "unanswered": verdict.unanswered,
            "lost_with_gateways": verdict.lost_with_gateways,
            "answered_twice": verdict.answered_twice,
            "ran_twice": verdict.ran_twice,
            "stale_reads": verdict.stale_reads,
            "stalest_us": verdict.stalest_us,
            "late": verdict.late,
            "bounded_reads": verdict.bounded_reads,
            "bounded_at_replicas": round(share, 3),
            "slowest_served_post_us": verdict.slowest_served_post_us,
            "in_time": {
                name: round(verdict.in_time_by_kind[name] / count, 3)
                for name, count in verdict.requests_by_kind.items()
            },
            "elections": self.elections,
            "steps": self.steps,
            "harness_lag_ms": round(self.lag_of_harness_ms, 1),
            "gateway_exit_codes": self.gateway_codes,
            "violations": verdict.violation_counts(),
            "examples": {rule: found[:3] for rule, found in verdict.violations.items() if found},
        }
