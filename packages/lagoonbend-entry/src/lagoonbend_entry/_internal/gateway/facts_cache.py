"""Configuration and target list as last read from the platform."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from lagoonbend.clock import Clock
from lagoonbend.exceptions import DocumentError
from lagoonbend.facts import CallerBounds
from lagoonbend.facts import ColdTargets
from lagoonbend.facts import ColdTolerance
from lagoonbend.facts import Evacuations
from lagoonbend.facts import ItemCache
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import NO_ERA
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import RuleSet
from lagoonbend.facts import TargetDirectory
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

DEFAULT_BOUNDS = CallerBounds(16_384, 1_048_576, 3_000, 15_000)
"""Bounds on callers until the first configuration has been read: heads up to
16 KiB, bodies up to 1 MiB, 3 s for a head to arrive and 15 s between two
requests."""

MAX_VERSIONS_AGE_MS = 3_000
"""Age of the facts from which a further version may serve without this
instance knowing. While the platform's store answers, the last confirmation
is at most 2.8 s old."""
MAX_REASON_CHARACTERS = 400
"""Length of an error about an entry that is logged."""
NO_EVACUATIONS = '\0'
"""Begins no key."""
REWRITE_MS = 2_000
"""Time after the return of a store from an older copy within which what its
writers wrote is written again. Reads in this time don't prove that the facts
are the newest."""
FIRST_ERA = 1
"""Era of a store that has never come back from a copy."""


class FactsCache:
    """Caches published items and the rules and targets decoded from them.

    A store that comes back from an older copy begins a new era. Its listing
    replaces the items, but the rules in force are replaced only by a higher
    version: while the copy has a lower one, they keep their place among the
    items that peers receive.

    The callbacks in ``on_change`` run after each change. ``confirm`` asks the
    store at once, and returns True if the facts hold all changes made before.
    ``read_history`` reads from the store which targets ended before the
    instance started.

    :param clock: clock that also advances while the machine is suspended.
    :param decode_rules: decodes the operators' configuration.
    :param decode_target: decodes a target's registration.
    :param rules_key: key of the item that holds the configuration.
    :param evacuations: evacuated failure domains; None if operators can't
        evacuate any.
    :param cold_tolerance: how exactly the rates of cold targets must be kept.
    """

    def __init__(
        self,
        clock: Clock,
        decode_rules: Callable[[bytes], RuleSet],
        decode_target: Callable[[PublishedItem], ListedTarget | None],
        rules_key: str,
        evacuations: Evacuations | None = None,
        cold_tolerance: ColdTolerance | None = None,
    ) -> None:
        self.item_cache = ItemCache()
        self.evacuations = evacuations or Evacuations(NO_EVACUATIONS)
        self.evacuations.on_unreadable = _log_unreadable
        self.cold_targets = ColdTargets(
            clock, cold_tolerance or ColdTolerance()
        )
        self.target_directory = TargetDirectory(
            decode_target, self.cold_targets
        )
        self.target_directory.on_unreadable = _log_unreadable
        self.rules: RuleSet | None = None
        self.on_change: list[Callable[[], None]] = []
        self.confirm: Callable[[], bool] = lambda: False
        self.read_history: Callable[[], bool] = lambda: False
        self._clock = clock
        self._decode_rules = decode_rules
        self._rules_key = rules_key
        self._rules_value: bytes | None = None
        self._settled_ms: int | None = None
        self._has_changed_era = False
        self._former_timeouts: list[tuple[int, int]] = []

    @property
    def bounds(self) -> CallerBounds:
        """Bounds on callers under the current configuration."""
        return self.rules.bounds if self.rules else DEFAULT_BOUNDS

    @property
    def version(self) -> int:
        """Version of the current configuration; 0 if there is none."""
        return self.rules.version if self.rules else 0

    @property
    def is_settling(self) -> bool:
        """True while the store may still lack what is written again."""
        settled_ms = self._settled_ms
        return settled_ms is not None and self._clock.now_ms() < settled_ms

    @property
    def rules_item(self) -> PublishedItem | None:
        """The item with the configuration in force, or else its removal."""
        return self.item_cache.find(self._rules_key)

    def age_ms(self) -> int | None:
        """Return the time since the facts were last confirmed as current."""
        return self.item_cache.age_ms(self._clock.now_ms())

    def list_versions(self, service: str) -> set[str | None]:
        """Return the software versions that may have begun a stream.

        They are those of the listed targets and of targets that have gone
        since the longest timeout of a route, one of an earlier configuration
        included under which streams may still run.
        """
        return self.target_directory.list_versions(
            service, self._clock.now_ms(), self._get_longest_ms()
        )

    def find_only_version(self, service: str) -> str:
        """Return the only version that may have begun a stream of a service.

        They are known once the instance has followed the list, without a gap,
        for as long as a stream may last. What is listed now says nothing of
        targets that have left.

        :returns: an empty string if there are several, or if the versions are
            not known or not up to date.
        """
        versions = self.list_versions(service)
        version = next(iter(versions)) if len(versions) == 1 else None
        age_ms = self.age_ms()
        if version is None or age_ms is None or age_ms >= MAX_VERSIONS_AGE_MS:
            return ''
        if self.is_settling:
            # Targets of other versions may not be listed again yet.
            return ''
        return version if self.knows_versions() else ''

    def count_cold(self) -> int:
        """Return the number of targets that may receive calls and are cold."""
        services = self.rules.services.values() if self.rules else ()
        return sum(
            self.cold_targets.count(
                self.target_directory.list_service(profile.name), profile
            )
            for profile in services
        )

    def knows_versions(self) -> bool:
        """Return True if all versions are known that a stream may have."""
        now_ms = self._clock.now_ms()
        return self.target_directory.knows_since(
            now_ms, self._get_longest_ms()
        )

    def knows_ends(self) -> bool:
        """Return True if each target is known that ended under a stream."""
        return self.target_directory.knows_ends_since(
            self._clock.now_ms(), self._get_end_time_ms()
        )

    def may_have_lost(
        self, service: str, readers: Collection[ListedTarget]
    ) -> bool:
        """Return True if a target may have ended that began a stream.

        :param service: service of the target.
        :param readers: targets of one version that have read the prompt.
        """
        if not self.knows_ends():
            self.read_history()
        age_ms = self.age_ms()
        is_current = age_ms is not None and age_ms < MAX_VERSIONS_AGE_MS
        is_missing_entries = self.is_settling and self._has_changed_era
        return (
            not is_current
            or is_missing_entries
            or not self.knows_ends()
            or self.target_directory.may_have_lost(
                service,
                readers,
                self._clock.now_ms(),
                self._get_end_time_ms(),
            )
        )

    def _get_end_time_ms(self) -> int:
        """Return how long ago a target can have ended that began a stream.

        An instance whose list is older may have used it after its end.
        """
        return self._get_longest_ms() + MAX_VERSIONS_AGE_MS

    def apply_listing(
        self,
        items: Iterable[PublishedItem],
        revision: int,
        at_ms: int,
        era: int = NO_ERA,
    ) -> None:
        """Apply a complete listing that was requested at ``at_ms``."""
        self._apply_all(list(items), (era, revision), 'listing')
        self._confirm((era, revision), at_ms)

    def apply_changes(
        self,
        items: Iterable[PublishedItem],
        revision: int,
        at_ms: int,
        era: int = NO_ERA,
    ) -> None:
        """Apply all changes up to a revision that was current at ``at_ms``.

        Of another era than the known one only the configuration counts, if it
        has a higher version.
        """
        if era == self.item_cache.era:
            self._apply_changed(list(items), 'watch')
            self._confirm((era, revision), at_ms)
        else:
            self._apply_rules_only(items, 'watch')

    def apply_peer_items(
        self,
        items: Iterable[PublishedItem],
        revision: int,
        at_ms: int,
        era: int = NO_ERA,
        *,
        is_listing: bool = False,
        live_keys: Iterable[str] | None = None,
    ) -> None:
        """Apply what a peer has sent, as it was current at ``at_ms``.

        A peer of a newer era has sent all of that era.

        :param is_listing: True if it has sent all items.
        :param live_keys: keys of all items that exist; None if the items
            contain the removals.
        """
        if era > self.item_cache.era or (
            is_listing and era == self.item_cache.era
        ):
            newest = [item for item in items if item.era == era]
            self._apply_all(newest, (era, revision), 'peer')
        elif era == self.item_cache.era:
            if live_keys is None:
                self._apply_changed(list(items), 'peer')
            else:
                self._apply_named(list(items), set(live_keys), (era, revision))
        else:
            self._apply_rules_only(items, 'peer')
            return
        # The peer has proven this itself.
        self.item_cache.mark_verified(revision, at_ms, era)

    def expire(self) -> None:
        """Apply what follows from the time since an outage of the store.

        Registrations that lapsed in it, and evacuations that a copy lacks,
        are removed for good.
        """
        before = self.target_directory.change_count
        self.target_directory.expire(self._clock.now_ms())
        if self._is_confirmed_again():
            self._evacuate(self.evacuations.expire)
        if self.target_directory.change_count != before:
            self._notify()

    def _is_confirmed_again(self) -> bool:
        """Return True if the facts hold what was written after an outage."""
        verified_ms = self.item_cache.verified_ms
        return self._settled_ms is None or (
            verified_ms is not None and verified_ms >= self._settled_ms
        )

    def _confirm(self, position: tuple[int, int], at_ms: int) -> None:
        """Record the time for which the store confirms the facts."""
        era, revision = position
        is_settled = self._settled_ms is None or at_ms >= self._settled_ms
        self.item_cache.mark_verified(
            revision, at_ms if is_settled else None, era
        )

    def _apply_all(
        self,
        items: list[PublishedItem],
        position: tuple[int, int],
        source: str,
    ) -> None:
        """Apply all items of an era, unless a newer era is known."""
        era, revision = position
        if era < self.item_cache.era:
            self._apply_rules_only(items, source)
            return
        if era > self.item_cache.era:
            self._begin_era(era, source)
            self.target_directory.begin_era(era, revision)
        rules = self.rules
        self._take_rules(items, source)
        history_start = self.item_cache.history_start
        updates = self.item_cache.replace('', items, revision, era)
        self._check_history(history_start)
        self._apply(updates, source, has_rules=self.rules is not rules)

    def _apply_changed(self, items: list[PublishedItem], source: str) -> None:
        rules = self.rules
        self._take_rules(items, source)
        updates = self.item_cache.merge(items)
        self._apply(updates, source, has_rules=self.rules is not rules)

    def _apply_named(
        self,
        items: list[PublishedItem],
        live_keys: set[str],
        position: tuple[int, int],
    ) -> None:
        era, revision = position
        rules = self.rules
        self._take_rules(items, 'peer')
        history_start = self.item_cache.history_start
        updates = self.item_cache.merge_changes(
            items, live_keys, revision, era
        )
        self._check_history(history_start)
        self._apply(updates, 'peer', has_rules=self.rules is not rules)

    def _check_history(self, start_before: tuple[int, int]) -> None:
        """Forget what was known of the past if changes have been missed.

        A version can't join, begin streams and leave within a short gap: a
        registration lapses after three heartbeats.
        """
        age_ms = self.age_ms()
        is_short = age_ms is not None and age_ms < MAX_VERSIONS_AGE_MS
        if self.item_cache.history_start != start_before and not is_short:
            self.target_directory.forget_history(self._clock.now_ms())

    def _apply_rules_only(
        self, items: Iterable[PublishedItem], source: str
    ) -> None:
        rules = self.rules
        self._take_rules(items, source)
        self._apply([], source, has_rules=self.rules is not rules)

    def _begin_era(self, era: int, source: str) -> None:
        before = self.item_cache.era
        now_ms = self._clock.now_ms()
        if before != NO_ERA or source == 'peer' or era > FIRST_ERA:
            # The era may have begun just now, as far as a peer or an instance
            # that has just started knows.
            self._settled_ms = now_ms + REWRITE_MS
        if before == NO_ERA:
            return
        self._has_changed_era = True
        log_event(
            Event.STORE_ERA_CHANGED,
            source=source,
            era=era,
            before=before,
            revision=self.item_cache.complete_revision,
            version=self.version,
            age_ms=self.age_ms(),
        )
        self.target_directory.record_outage_end(now_ms)

    def _take_rules(self, items: Iterable[PublishedItem], source: str) -> None:
        """Apply a configuration of a higher version, whatever its era."""
        for item in items:
            if (
                item.key == self._rules_key
                and item.value is not None
                and item.value != self._rules_value
            ):
                self._apply_rules(item, item.value, source)

    def _keep_rules_item(self) -> None:
        """Let the rules in force replace a lower version or a removal."""
        known = self.rules_item
        value = self._rules_value
        if value is None:
            return
        if known is None:
            era, revision = self.item_cache.position
            self.item_cache.put(
                PublishedItem(self._rules_key, revision, value, era)
            )
        elif known.value != value:
            self.item_cache.put(known._replace(value=value))

    def _apply(
        self, updates: list[PublishedItem], source: str, *, has_rules: bool
    ) -> None:
        self._keep_rules_item()
        if not updates:
            if has_rules:
                self._notify()
            return
        for item in updates:
            if item.key == self._rules_key and item.value is None:
                self._log_rejected(item, 'removed')
        now_ms = self._clock.now_ms()
        self.target_directory.apply(updates, now_ms)
        self._evacuate(lambda: self.evacuations.apply(updates))
        log_event(
            Event.FACTS_CHANGED,
            source=source,
            era=updates[0].era,
            revision=max(item.revision for item in updates),
            items=len(updates),
            removed=sum(item.value is None for item in updates),
            targets=len(self.target_directory),
            mixed_services=self.target_directory.list_mixed_services(),
            age_ms=self.age_ms(),
        )
        self._notify()

    def _evacuate(self, update: Callable[[], None]) -> None:
        """Update the evacuations, and log which of them have changed."""
        before = self.evacuations.domains
        update()
        domains = self.evacuations.domains
        if domains == before:
            return
        self.target_directory.evacuate(domains, self._clock.now_ms())
        log_event(
            Event.EVACUATIONS_CHANGED,
            evacuated=sorted(domains - before),
            returned=sorted(before - domains),
            domains=sorted(domains),
            era=self.item_cache.era,
            age_ms=self.age_ms(),
        )

    def _apply_rules(
        self, item: PublishedItem, value: bytes, source: str
    ) -> None:
        try:
            rules = self._decode_rules(value)
        except DocumentError as error:
            self._log_rejected(item, str(error))
            return
        if rules.version <= self.version:
            return
        log_event(
            Event.RULES_APPLIED,
            version=rules.version,
            before=self.version,
            source=source,
            era=item.era,
            revision=item.revision,
            customers=[
                f'{rule.name} {rule.rank} {rule.rate_per_s:.0f}'
                for rule in rules.customers_by_name.values()
            ],
        )
        self._keep_timeout()
        self.rules = rules
        self._rules_value = value

    def _keep_timeout(self) -> None:
        """Record for how long streams may last under the current rules.

        Instances whose facts are older may still begin some.
        """
        now_ms = self._clock.now_ms()
        longest_ms = self.rules.longest_timeout_ms if self.rules else 0
        end_ms = now_ms + MAX_VERSIONS_AGE_MS + longest_ms
        self._former_timeouts = [
            timeout for timeout in self._former_timeouts if timeout[0] > now_ms
        ]
        self._former_timeouts.append((end_ms, longest_ms))

    def _get_longest_ms(self) -> int:
        """Return the time for which a stream may last that still runs."""
        now_ms = self._clock.now_ms()
        longest_ms = self.rules.longest_timeout_ms if self.rules else 0
        former = (
            ms for end_ms, ms in self._former_timeouts if end_ms > now_ms
        )
        return max(longest_ms, *former, 0)

    @staticmethod
    def _log_rejected(item: PublishedItem, reason: str) -> None:
        log_event(
            Event.RULES_REJECTED,
            reason=reason,
            era=item.era,
            revision=item.revision,
        )

    def _notify(self) -> None:
        for notify in self.on_change:
            notify()


def _log_unreadable(error: DocumentError) -> None:
    log_event(Event.ENTRY_REJECTED, reason=str(error)[:MAX_REASON_CHARACTERS])
