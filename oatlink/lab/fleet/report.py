"""What came of a day of the fleet."""

from dataclasses import dataclass, field

from oatlink.audit.evidence import EvidenceFound
from oatlink.audit.quota import QuotaFound, TenantFound
from oatlink.audit.versions import VersionsFound
from oatlink.lab.days.report import Report


@dataclass(slots=True)
class FleetReport:
    """The five rules, and what the fleet's own judges found."""

    day: Report
    quota: QuotaFound | None = None
    versions: VersionsFound | None = None
    evidence: EvidenceFound | None = None
    without: "FleetReport | None" = None  # the same day without the fleet's verdicts
    layout: str = ""  # what a gateway said of the layouts at the end
    problems: list[str] = field(default_factory=list)  # processes that did not do what the schedule needed

    @property
    def kept(self) -> bool:
        """Whether every rule and every bound was kept."""
        judged = [one.kept for one in (self.quota, self.versions) if one is not None]
        judged += [not self.evidence.passed_over] if self.evidence is not None else []
        judged += [self.without.kept] if self.without is not None else []
        return self.day.kept and all(judged) and not self.problems

    def as_json(self) -> dict[str, object]:
        """The documented JSON."""
        data = self.day.as_json()
        if self.quota is not None:
            data["quota"] = {name: _tenant(one) for name, one in self.quota.tenants.items()}
            data["quota_broken"] = {rule: len(found) for rule, found in self.quota.broken.items()}
            data["quota_examples"] = {rule: found[:3] for rule, found in self.quota.broken.items() if found}
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
                "unpinned_unserved_s": round(found.unserved_s, 3),
                "at_the_end": self.layout.splitlines()[:1],
            }
            data["layouts_broken"] = {rule: len(texts) for rule, texts in found.broken.items()}
            data["layouts_examples"] = {rule: texts[:3] for rule, texts in found.broken.items() if texts}
        if self.evidence is not None:
            data["evidence"] = _evidence(self.evidence)
        if self.without is not None:
            data["without_verdicts"] = self.without.as_json()
        data["problems"] = self.problems
        data["kept"] = self.kept
        return data


def _tenant(one: TenantFound) -> dict[str, object]:
    return {
        "asked": one.asked,
        "admitted": one.admitted,
        "refused": one.refused,
        "overloads": one.overloads,
        "unknown": one.unknown,
        "refused_without_time": one.without_time,
        "over": round(one.over.over, 2),
        "over_with_overloads": round(one.over_with_overloads.over, 2),
        "worst_window_s": round((one.over.to_us - one.over.from_us) / 1e6, 3),
        "worst_window_count": round(one.over.counted),
        "used": [round(share, 3) for share in one.used],
        "stranded_floors": [round(share, 3) for share in one.stranded],
        "used_while_cut": [round(share, 3) for share in one.used_cut],
        "floors": [round(share, 3) for share in one.floors],
        "refused_with_room_at_floors": one.refused_with_room,
        "back_s": one.back_s,
    }


def _evidence(one: EvidenceFound) -> dict[str, object]:
    return {
        "checks": one.checks,
        "checks_at_harmed": one.checks_at_harmed,
        "attempts": one.attempts,
        "failed_attempts": one.failed_attempts,
        "failed_at_harmed": one.failed_at_harmed,
        "known": [
            {
                "what": each.what,
                "members": each.members,
                "first_ms": round(each.first_ms),
                "later_ms": [round(ms) for ms in each.later_ms],
                "never": each.never,
            }
            for each in one.known
        ],
        "healthy_doubted": one.doubted,
        "healthy_passed_over": len(one.passed_over),
        "passed_over_examples": one.passed_over[:3],
    }
