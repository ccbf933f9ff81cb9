"""What came of a day of the fleet."""

from dataclasses import dataclass, field

from oatlink.audit.evidence import EvidenceResult
from oatlink.audit.quota import QuotaResult, TenantResult
from oatlink.audit.versions import VersionsResult
from oatlink.lab.days.report import Report


@dataclass(slots=True)
class FleetReport:
    """The five rules, and what the fleet's own judges found."""

    day: Report
    quota: QuotaResult | None = None
    versions: VersionsResult | None = None
    evidence: EvidenceResult | None = None
    without: "FleetReport | None" = None  # the same day without the fleet's verdicts
    layout: str = ""  # what a gateway said of the layouts at the end
    problems: list[str] = field(default_factory=list)  # processes that did not do what the schedule needed

    @property
    def kept(self) -> bool:
        """Whether every rule and every bound was kept."""
        judged = [one.passed for one in (self.quota, self.versions) if one is not None]
        judged += [not self.evidence.healthy_passed_over] if self.evidence is not None else []
        judged += [self.without.kept] if self.without is not None else []
        return self.day.kept and all(judged) and not self.problems

    def as_json(self) -> dict[str, object]:
        """The documented JSON."""
        data = self.day.as_json()
        if self.quota is not None:
            data["quota"] = {name: _tenant(one) for name, one in self.quota.tenants.items()}
            data["quota_broken"] = {rule: len(found) for rule, found in self.quota.violations.items()}
            data["quota_examples"] = {rule: found[:3] for rule, found in self.quota.violations.items() if found}
        if self.versions is not None:
            found = self.versions
            data["layouts"] = {
                "commands_at_boxes": {f"v{version}": count for version, count in sorted(found.commands.items())},
                "asked": dict(found.asked),
                "refused": dict(found.refused),
                "changes": {
                    f"v{version}": {
                        "expanded_s": round(one.expanded_s, 3),
                        "first_served_s": round(one.first_served_s, 3),
                        "contracted_s": round(one.contracted_s, 3),
                    }
                    for version, one in sorted(found.changes.items())
                },
                "unpinned_unserved_s": round(found.unpinned_unserved_s, 3),
                "at_the_end": self.layout.splitlines()[:1],
            }
            data["layouts_broken"] = {rule: len(texts) for rule, texts in found.violations.items()}
            data["layouts_examples"] = {rule: texts[:3] for rule, texts in found.violations.items() if texts}
        if self.evidence is not None:
            data["evidence"] = _evidence(self.evidence)
        if self.without is not None:
            data["without_verdicts"] = self.without.as_json()
        data["problems"] = self.problems
        data["kept"] = self.kept
        return data


def _tenant(one: TenantResult) -> dict[str, object]:
    return {
        "asked": one.asked,
        "admitted": one.admitted,
        "refused": one.refused,
        "overloads": one.overloads,
        "unknown": one.unknown,
        "refused_without_time": one.refused_without_retry_time,
        "over": round(one.excess.amount, 2),
        "over_with_overloads": round(one.excess_with_overloads.amount, 2),
        "worst_window_s": round((one.excess.to_us - one.excess.from_us) / 1e6, 3),
        "worst_window_count": round(one.excess.counted),
        "used": [round(share, 3) for share in one.used_shares],
        "stranded_floors": [round(share, 3) for share in one.stranded_floor_shares],
        "used_while_cut": [round(share, 3) for share in one.used_shares_while_cut],
        "floors": [round(share, 3) for share in one.floor_shares],
        "refused_with_room_at_floors": one.refused_despite_floor,
        "back_s": one.recovery_s,
    }


def _evidence(one: EvidenceResult) -> dict[str, object]:
    return {
        "checks": one.checks,
        "checks_at_harmed": one.checks_at_faulty,
        "attempts": one.attempts,
        "failed_attempts": one.failed_attempts,
        "failed_at_harmed": one.failed_at_faulty,
        "known": [
            {
                "what": each.what,
                "members": each.members,
                "first_ms": round(each.first_ms),
                "later_ms": [round(ms) for ms in each.others_later_ms],
                "never": each.never,
            }
            for each in one.detections
        ],
        "healthy_doubted": one.healthy_doubted,
        "healthy_passed_over": len(one.healthy_passed_over),
        "passed_over_examples": one.healthy_passed_over[:3],
    }
