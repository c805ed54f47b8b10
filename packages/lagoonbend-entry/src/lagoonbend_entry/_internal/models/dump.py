"""State of an instance, for operators."""

from typing import TypedDict


class TargetDump(TypedDict):
    """State of a target as the instance knows it."""

    target: str
    kind: str
    failure_domain: str
    leaving: bool
    outstanding: int
    outstanding_tokens: int
    tokens_per_s: float
    report_age_ms: int | None


class AttemptDump(TypedDict):
    """An attempt that has not ended."""

    attempt: str
    tier: str
    target: str
    verdict: str
    age_ms: int


class PeerDump(TypedDict):
    """State of another instance as this instance knows it."""

    instance: str
    address: str
    failure_domain: str
    leaving: bool
    heard_age_ms: int | None
    part_revision: int | None
    part_digest: str | None


class Dump(TypedDict):
    """State of the instance. An age is in milliseconds; None means never."""

    instance: str
    incarnation: str
    partner: str
    failure_domain: str
    state: str
    uptime_ms: int
    part_revision: int
    part_digest: str
    part_conflicts: list[int]
    fleet_revision: int
    fleet_age_ms: int | None
    platform_failures: int
    seat_epoch: int
    bare_keys_quarantined_ms: int
    waiting: dict[str, int]
    attempts: list[AttemptDump]
    claims: int
    targets: list[TargetDump]
    peers: list[PeerDump]
    pauses: int
    violations: dict[str, int]
