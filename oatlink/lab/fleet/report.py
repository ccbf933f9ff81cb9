"""The report of a fleet scenario."""

from dataclasses import dataclass, field

from oatlink.audit.evidence import EvidenceResult
from oatlink.audit.quota import QuotaResult, TenantResult
from oatlink.audit.versions import VersionsResult
from oatlink.lab.days.report import Report


@dataclass(slots=True)
class FleetReport:
    """The report of the five invariants, and the results of the checkers that a fleet scenario adds."""

    base: Report
    quota: QuotaResult | None = None
    versions: VersionsResult | None = None
    evidence: EvidenceResult | None = None
    without_verdicts: "FleetReport | None" = None  # the same scenario, run with `verdicts` off
    layout: str = ""  # the layout status of a gateway at the end
    problems: list[str] = field(default_factory=list)  # processes that did not do what the schedule required

    @property
    def kept(self) -> bool:
        """Whether no invariant and no bound was violated."""
        passed = [result.passed for result in (self.quota, self.versions) if result is not None]
        passed += [not self.evidence.healthy_passed_over] if self.evidence is not None else []
        passed += [self.without_verdicts.kept] if self.without_verdicts is not None else []
        return self.base.kept and all(passed) and not self.problems

    def as_json(self) -> dict[str, object]:
        """Return the report in its documented JSON form."""
        data = self.base.as_json()
        if self.quota is not None:
            data["quota"] = {name: _tenant(tenant) for name, tenant in self.quota.tenants.items()}
            data["quota_broken"] = {rule: len(texts) for rule, texts in self.quota.violations.items()}
            data["quota_examples"] = {rule: texts[:3] for rule, texts in self.quota.violations.items() if texts}
        if self.versions is not None:
            versions = self.versions
            data["layouts"] = {
                "commands_at_boxes": {f"v{version}": count for version, count in sorted(versions.commands.items())},
                "asked": dict(versions.asked),
                "refused": dict(versions.refused),
                "changes": {
                    f"v{version}": {
                        "expanded_s": round(change.expanded_s, 3),
                        "first_served_s": round(change.first_served_s, 3),
                        "contracted_s": round(change.contracted_s, 3),
                    }
                    for version, change in sorted(versions.changes.items())
                },
                "unpinned_unserved_s": round(versions.unpinned_unserved_s, 3),
                "at_the_end": self.layout.splitlines()[:1],
            }
            data["layouts_broken"] = {rule: len(texts) for rule, texts in versions.violations.items()}
            data["layouts_examples"] = {rule: texts[:3] for rule, texts in versions.violations.items() if texts}
        if self.evidence is not None:
            data["evidence"] = _evidence(self.evidence)
        if self.without_verdicts is not None:
            data["without_verdicts"] = self.without_verdicts.as_json()
        data["problems"] = self.problems
        data["kept"] = self.kept
        return data


def _tenant(tenant: TenantResult) -> dict[str, object]:
    return {
        "asked": tenant.asked,
        "admitted": tenant.admitted,
        "refused": tenant.refused,
        "overloads": tenant.overloads,
        "unknown": tenant.unknown,
        "refused_without_time": tenant.refused_without_retry_time,
        "over": round(tenant.excess.amount, 2),
        "over_with_overloads": round(tenant.excess_with_overloads.amount, 2),
        "worst_window_s": round((tenant.excess.to_us - tenant.excess.from_us) / 1e6, 3),
        "worst_window_count": round(tenant.excess.counted),
        "used": [round(share, 3) for share in tenant.used_shares],
        "stranded_floors": [round(share, 3) for share in tenant.stranded_floor_shares],
        "used_while_cut": [round(share, 3) for share in tenant.used_shares_while_cut],
        "floors": [round(share, 3) for share in tenant.floor_shares],
        "refused_with_room_at_floors": tenant.refused_despite_floor,
        "back_s": tenant.recovery_s,
    }


def _evidence(evidence: EvidenceResult) -> dict[str, object]:
    return {
        "checks": evidence.checks,
        "checks_at_harmed": evidence.checks_at_faulty,
        "attempts": evidence.attempts,
        "failed_attempts": evidence.failed_attempts,
        "failed_at_harmed": evidence.failed_at_faulty,
        "known": [
            {
                "what": detection.what,
                "members": detection.members,
                "first_ms": round(detection.first_ms),
                "later_ms": [round(ms) for ms in detection.others_later_ms],
                "never": detection.never,
            }
            for detection in evidence.detections
        ],
        "healthy_doubted": evidence.healthy_doubted,
        "healthy_passed_over": len(evidence.healthy_passed_over),
        "passed_over_examples": evidence.healthy_passed_over[:3],
    }
