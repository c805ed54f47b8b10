"""The targets that may receive calls."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Set as AbstractSet

from lagoonbend._internal.exceptions import DocumentError
from lagoonbend._internal.facts.cold_targets import ColdTargets
from lagoonbend._internal.facts.departures import Departures
from lagoonbend._internal.facts.listed_target import ListedTarget
from lagoonbend._internal.facts.published_item import NO_ERA
from lagoonbend._internal.facts.published_item import PublishedItem
from lagoonbend._internal.facts.unknown_end import UnknownEnd

LAPSE_GRACE_MS = 2_000
"""Time after an outage of the platform for which a target whose registration
is missing stays usable. Registrations that lapsed during the outage are
renewed within about two seconds of its end."""
RETURNED_ENTRY_MS = 4 * LAPSE_GRACE_MS
"""Time for which a target that was removed isn't used if an older copy of the
store brings its registration back. The platform removes it again after three
heartbeats of silence; live servers have sent one within ``LAPSE_GRACE_MS``."""
MAX_KNOWN_NAMES = 4_096
"""Several times the 600 targets of the largest fleet."""


class TargetDirectory:
    """Targets by name, tolerant of registrations that lapsed in an outage.

    An entry that is removed while the platform is available is dropped at
    once. One that is missing just after an outage may belong to a live target
    whose registration lapsed, and stays usable for ``LAPSE_GRACE_MS``. A later
    era of the store doesn't undo that a target leaves or is gone. Targets of
    evacuated failure domains stay listed, but get no calls. An unreadable
    entry is no target; ``on_unreadable`` is called with the error. Those in
    ``on_new_life`` are called with a target that is listed for the first time
    or has started again.

    :param decode: decodes an item; returns None if it describes no target, and
        raises DocumentError if it can't be read.
    :param cold_targets: is told of each registration; None if no target is
        ever cold.
    """

    def __init__(
        self,
        decode: Callable[[PublishedItem], ListedTarget | None],
        cold_targets: ColdTargets | None = None,
    ) -> None:
        self.on_unreadable: Callable[[DocumentError], None] = _ignore
        self.on_new_life: list[Callable[[ListedTarget], None]] = []
        self._decode = decode
        self._cold_targets = cold_targets
        self._targets: dict[str, ListedTarget] = {}
        self._by_service: dict[str, tuple[ListedTarget, ...]] = {}
        self._usable: dict[str, ListedTarget] = {}
        self._lapsed_until_ms: dict[str, int] = {}
        self._lapsed_eras: dict[str, int] = {}
        self._returned_until_ms: dict[str, int] = {}
        self._departures = Departures()
        self._era_start = (NO_ERA, 0)
        self._outage_ended_ms: int | None = None
        self._versions: dict[str, set[str | None]] = {}
        self._gone_versions: dict[str, dict[str | None, int]] = {}
        self._ended: dict[str, dict[ListedTarget, int]] = {}
        self._unknown_ends: dict[tuple[int, int], UnknownEnd] = {}
        self._created: dict[str, tuple[int, int]] = {}
        self._past_since_ms: int | None = None
        self._listed_since_ms: int | None = None
        self._known_names: dict[str, None] = {}
        self._other_names: set[str] = set()
        self._evacuated_domains: AbstractSet[str] = frozenset()
        self._evacuated_names: set[str] = set()
        self.change_count = 0

    def __len__(self) -> int:
        return len(self._targets)

    def record_outage_end(self, now_ms: int) -> None:
        """Record that the platform is available again."""
        self._outage_ended_ms = now_ms
        for name in self._lapsed_until_ms:
            self._lapsed_until_ms[name] = now_ms + LAPSE_GRACE_MS

    def forget_history(self, now_ms: int) -> None:
        """Record that changes before this time have been missed."""
        self._listed_since_ms = now_ms
        self._past_since_ms = None

    def apply_history(
        self,
        items: Iterable[PublishedItem],
        oldest_revision: int,
        since_ms: int,
        now_ms: int,
    ) -> None:
        """Record the targets that ended before the list was first read.

        :param items: all changes that the store still has, in their order.
        :param oldest_revision: revision after which these changes were made.
        :param since_ms: time since which it has all changes.
        """
        lives: dict[str, ListedTarget | None] = {}
        for item in items:
            known = lives.get(item.key)
            target = self._read(item)
            if known is not None and not _is_continued(known, target):
                self._record_end(known, now_ms)
            elif item.value is None and item.key not in lives:
                self._record_unknown_end(item, oldest_revision, now_ms)
            self._record_created(target, item)
            lives[item.key] = target
        for name, known in lives.items():
            listed = self._targets.get(name)
            if (
                known is not None
                and listed is not None
                and not _is_continued(known, listed)
            ):
                self._record_end(known, now_ms)
        self._past_since_ms = since_ms

    def begin_era(self, era: int, revision: int) -> None:
        """Record the position of the listing that began an era.

        A registration of that era above it was written by a live target.
        """
        self._era_start = (era, revision)

    def apply(self, items: Iterable[PublishedItem], now_ms: int) -> None:
        """Apply changed items."""
        is_first = self._listed_since_ms is None
        if is_first:
            self._listed_since_ms = now_ms
        for item in items:
            self._apply_item(item, now_ms, is_first=is_first)
        self._rebuild(now_ms)

    def expire(self, now_ms: int) -> None:
        """Remove lapsed targets that did not register again in time.

        Use those again that an older copy brought back and that are alive.
        """
        expired = _pop_expired(self._lapsed_until_ms, now_ms)
        for name in expired:
            era = self._lapsed_eras.pop(name)
            target = self._targets.pop(name, None)
            if target is not None:
                self._departures.record(name, target, era)
                self._record_end(target, now_ms)
                self._forget_cold(target)
        returned = _pop_expired(self._returned_until_ms, now_ms)
        for name in returned:
            self._departures.forget(name)
            self._targets[name] = self._targets[name]._replace(
                is_leaving=False
            )
        if expired or returned:
            self._rebuild(now_ms)

    def evacuate(self, domains: AbstractSet[str], now_ms: int) -> None:
        """Use no targets of some failure domains, and those of all others."""
        if domains == self._evacuated_domains:
            return
        returned_domains = self._evacuated_domains - domains
        self._evacuated_domains = domains
        self._rebuild(now_ms)
        if self._cold_targets is not None:
            self._cold_targets.record_returned(
                target
                for target in self._usable.values()
                if target.failure_domain in returned_domains
            )

    @property
    def unknown_end_count(self) -> int:
        """Number of removals of targets from before the store's history."""
        return len(self._unknown_ends)

    def find(self, name: str) -> ListedTarget | None:
        """Return a target that may receive calls."""
        return self._usable.get(name)

    def is_evacuated(self, name: str) -> bool:
        """Return True if a listed target is in an evacuated domain."""
        return name in self._evacuated_names

    def is_service_evacuated(self, service: str) -> bool:
        """Return True if evacuations leave a service no usable target."""
        return not self._by_service.get(service) and any(
            self.is_evacuated(target.target)
            for target in self.list_registered(service)
        )

    def has_listed(self, name: str) -> bool:
        """Return True if a target is listed in any state, or has been.

        Of targets that are gone, the last ``MAX_KNOWN_NAMES`` are known.
        """
        return name in self._known_names

    def list_service(self, service: str) -> tuple[ListedTarget, ...]:
        """Return the targets of a service that may receive calls."""
        return self._by_service.get(service, ())

    def list_registered(self, service: str) -> list[ListedTarget]:
        """Return the listed targets of a service, leaving ones included."""
        return [
            target
            for target in self._targets.values()
            if target.service == service
        ]

    def list_versions(
        self, service: str, now_ms: int, window_ms: int
    ) -> set[str | None]:
        """Return the software versions of a service, draining ones included.

        :param window_ms: time for which the version of targets that are gone
            is still returned.
        """
        gone = self._gone_versions.get(service, {})
        recent = {
            version
            for version, gone_ms in gone.items()
            if now_ms - gone_ms < window_ms
        }
        return self._versions.get(service, set()) | recent

    def list_listed_versions(self, service: str) -> AbstractSet[str | None]:
        """Return the software versions of the listed targets of a service."""
        return self._versions.get(service, frozenset())

    def knows_since(self, now_ms: int, window_ms: int) -> bool:
        """Return True if the targets of a whole window are known.

        Versions that were gone before an instance started, or that came and
        went while it missed changes, are not.
        """
        since_ms = self._listed_since_ms
        return since_ms is not None and now_ms - since_ms >= window_ms

    def knows_ends_since(self, now_ms: int, window_ms: int) -> bool:
        """Return True if the ends of targets in a whole window are known.

        Those before the instance started are known from the store's history.
        """
        past_ms = self._past_since_ms
        return self.knows_since(now_ms, window_ms) or (
            past_ms is not None and now_ms - past_ms >= window_ms
        )

    def may_have_lost(
        self,
        service: str,
        readers: Collection[ListedTarget],
        now_ms: int,
        window_ms: int,
    ) -> bool:
        """Return True if a target may have ended that began a stream.

        Another life of a target counts, as it knows nothing of before. Targets
        of another version that started before all readers don't: they are
        replaced by those, and get no more calls then. Of a target that was
        listed before the store's history, only that is known: readers that
        registered in the history are newer.

        :param readers: targets of one version that have read the prompt.
        :param window_ms: time that counts.
        """
        created = [self._created.get(reader.target) for reader in readers]
        if any(
            _is_within(end.noticed_ms, now_ms, window_ms)
            and not end.is_before(created)
            for end in self._unknown_ends.values()
        ):
            return True
        versions = {reader.software_version for reader in readers}
        return any(
            _is_within(ended_ms, now_ms, window_ms)
            and target.software_version not in versions
            and not target.started_before(readers)
            for target, ended_ms in self._ended.get(service, {}).items()
        )

    def list_mixed_services(self) -> list[str]:
        """Return the services whose listed targets have several versions."""
        return sorted(
            service
            for service, versions in self._versions.items()
            if len(versions) > 1
        )

    def _record_versions(self, now_ms: int) -> None:
        versions: dict[str, set[str | None]] = {}
        for target in self._targets.values():
            versions.setdefault(target.service, set()).add(
                target.software_version
            )
        for service, previous in self._versions.items():
            gone = self._gone_versions.setdefault(service, {})
            for version in previous - versions.get(service, set()):
                gone[version] = now_ms
        self._versions = versions

    def _record_version(self, target: ListedTarget, now_ms: int) -> None:
        """Record a version that may be gone with the next change."""
        gone = self._gone_versions.setdefault(target.service, {})
        gone[target.software_version] = now_ms

    def _record_end(self, target: ListedTarget, now_ms: int) -> None:
        ended = self._ended.setdefault(target.service, {})
        ended.pop(target, None)
        ended[target] = now_ms
        if len(ended) > MAX_KNOWN_NAMES:
            del ended[next(iter(ended))]

    def _record_unknown_end(
        self, item: PublishedItem, oldest_revision: int, now_ms: int
    ) -> None:
        """Record the removal of a target that was listed before the history.

        :param oldest_revision: revision after which it wasn't written.
        """
        known = self._unknown_ends.setdefault(
            item.position, UnknownEnd(item.era, oldest_revision, now_ms)
        )
        if oldest_revision < known.listed_revision:
            self._unknown_ends[item.position] = known._replace(
                listed_revision=oldest_revision
            )
        if len(self._unknown_ends) > MAX_KNOWN_NAMES:
            del self._unknown_ends[next(iter(self._unknown_ends))]

    def _record_created(
        self, target: ListedTarget | None, item: PublishedItem
    ) -> None:
        if target is None:
            return
        self._created.pop(target.target, None)
        if item.created_revision is None:
            return
        self._created[target.target] = (item.era, item.created_revision)
        if len(self._created) > MAX_KNOWN_NAMES:
            del self._created[next(iter(self._created))]

    def _apply_item(
        self, item: PublishedItem, now_ms: int, *, is_first: bool
    ) -> None:
        name = item.key
        known = self._targets.get(name)
        if item.value is not None:
            target = self._read(item)
            self._end_lapse(name)
            self._other_names.discard(name)
            if known is not None and not _is_continued(known, target):
                self._record_end(known, now_ms)
            if target is None:
                self._returned_until_ms.pop(name, None)
                self._targets.pop(name, None)
                self._other_names.add(name)
                self._forget_cold(known)
            else:
                is_continued = known is not None and _is_continued(
                    known, target
                )
                self._targets[name] = self._restrict(target, item, now_ms)
                self._record_name(name)
                self._record_version(target, now_ms)
                if self._cold_targets is not None:
                    self._cold_targets.record(
                        target, is_known=is_continued, is_first=is_first
                    )
                if not is_continued:
                    for notify in self.on_new_life:
                        notify(target)
            return
        self._returned_until_ms.pop(name, None)
        if known is None:
            is_other = name in self._other_names
            self._other_names.discard(name)
            if not is_other and name not in self._known_names:
                # It was listed in between, with an unknown version.
                self.forget_history(now_ms)
            return
        ended_ms = self._outage_ended_ms
        is_lapse = (
            not known.is_leaving
            and ended_ms is not None
            and now_ms - ended_ms < LAPSE_GRACE_MS
        )
        if is_lapse and ended_ms is not None:
            self._lapsed_until_ms[name] = ended_ms + LAPSE_GRACE_MS
            self._lapsed_eras[name] = item.era
            return
        self._end_lapse(name)
        if not known.is_leaving:
            self._departures.record(name, known, item.era)
        del self._targets[name]
        self._record_end(known, now_ms)
        self._forget_cold(known)

    def _forget_cold(self, target: ListedTarget | None) -> None:
        if self._cold_targets is not None and target is not None:
            self._cold_targets.forget(target.target)

    def _read(self, item: PublishedItem) -> ListedTarget | None:
        try:
            return self._decode(item)
        except DocumentError as error:
            self.on_unreadable(error)
            return None

    def _end_lapse(self, name: str) -> None:
        self._lapsed_until_ms.pop(name, None)
        self._lapsed_eras.pop(name, None)

    def _restrict(
        self, target: ListedTarget, item: PublishedItem, now_ms: int
    ) -> ListedTarget:
        """Return a registered target, as leaving if it may not be used."""
        name = item.key
        was_returned = self._returned_until_ms.pop(name, None) is not None
        known = self._targets.get(name)
        if known is not None and known.is_followed_by(target):
            ended = known._replace(is_leaving=True)
            self._departures.record(name, ended, item.era)
        departed = self._departures.find(target, item)
        if target.is_leaving:
            self._departures.record(name, target, item.era)
            return target
        if departed is None:
            return target
        if not departed.is_leaving:
            era, revision = self._era_start
            is_new = item.era == era and item.revision > revision
            if was_returned or is_new:
                # Only the first registration may be that of the copy, and
                # only if the first listing contains it.
                self._departures.forget(name)
                return target
            self._returned_until_ms[name] = now_ms + RETURNED_ENTRY_MS
        return target._replace(is_leaving=True)

    def _record_name(self, name: str) -> None:
        self._known_names.pop(name, None)
        self._known_names[name] = None
        if len(self._known_names) > MAX_KNOWN_NAMES:
            del self._known_names[next(iter(self._known_names))]

    def _rebuild(self, now_ms: int) -> None:
        self.change_count += 1
        self._record_versions(now_ms)
        # Targets are kept by the keys of their items, which are not their
        # identities.
        self._usable = {}
        self._evacuated_names = set()
        for target in self._targets.values():
            if target.is_leaving:
                continue
            if target.failure_domain in self._evacuated_domains:
                self._evacuated_names.add(target.target)
            else:
                self._usable[target.target] = target
        by_service: dict[str, list[ListedTarget]] = {}
        for target in self._usable.values():
            by_service.setdefault(target.service, []).append(target)
        self._by_service = {
            service: tuple(targets) for service, targets in by_service.items()
        }


def _is_within(at_ms: int | None, now_ms: int, window_ms: int) -> bool:
    return at_ms is not None and now_ms - at_ms < window_ms


def _is_continued(known: ListedTarget, target: ListedTarget | None) -> bool:
    """Return True if a registration is of the life that is known."""
    return (
        target is not None
        and target.is_same_life(known)
        and (target.service, target.software_version)
        == (known.service, known.software_version)
    )


def _ignore(error: DocumentError) -> None:
    """Do nothing with an unreadable entry."""


def _pop_expired(until_ms: dict[str, int], now_ms: int) -> list[str]:
    expired = [name for name, end_ms in until_ms.items() if now_ms >= end_ms]
    for name in expired:
        del until_ms[name]
    return expired
