"""The published facts that an instance works by."""

from collections.abc import Callable
from collections.abc import Iterable

from lagoonbend.clock import Clock
from lagoonbend.exceptions import DocumentError
from lagoonbend.facts import CallerBounds
from lagoonbend.facts import ItemCache
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import PublishedItem
from lagoonbend.facts import RuleSet
from lagoonbend.facts import TargetDirectory
from lagoonbend_entry._internal.utils.event import Event
from lagoonbend_entry._internal.utils.event_log import log_event

FIRST_BOUNDS = CallerBounds(16_384, 1_048_576, 3_000, 15_000)
"""Bounds on callers until the first configuration is known."""


class FactsCache:
    """Merges items into rules and targets.

    :param clock: clock that also counts while the machine is suspended.
    :param decode_rules: reads the operators' configuration.
    :param decode_target: reads a target's registration.
    :param rules_key: item that holds the configuration.
    """

    def __init__(
        self,
        clock: Clock,
        decode_rules: Callable[[bytes], RuleSet],
        decode_target: Callable[[PublishedItem], ListedTarget | None],
        rules_key: str,
    ) -> None:
        self.item_cache = ItemCache()
        self.target_directory = TargetDirectory(decode_target)
        self.rules: RuleSet | None = None
        self.on_change: list[Callable[[], None]] = []
        self._clock = clock
        self._decode_rules = decode_rules
        self._rules_key = rules_key

    @property
    def bounds(self) -> CallerBounds:
        """Bounds on callers that are in force."""
        return self.rules.bounds if self.rules else FIRST_BOUNDS

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 if there is none."""
        return self.rules.version if self.rules else 0

    def age_ms(self) -> int | None:
        """Return the age of the proof that the facts are the newest."""
        return self.item_cache.age_ms(self._clock.now_ms())

    def apply_listing(
        self, items: Iterable[PublishedItem], revision: int, at_ms: int
    ) -> None:
        """Take in a whole listing that was asked for at ``at_ms``."""
        self._apply(self.item_cache.replace('', items, revision), 'listing')
        self.item_cache.mark_verified(revision, at_ms)

    def apply_changes(
        self,
        items: Iterable[PublishedItem],
        revision: int,
        at_ms: int,
        source: str,
    ) -> None:
        """Take in all changes up to a revision, complete at ``at_ms``."""
        self._apply(self.item_cache.merge(items), source)
        self.item_cache.mark_verified(revision, at_ms)

    def expire(self) -> None:
        """Drop targets whose registration lapsed and did not come back."""
        before = self.target_directory.change_count
        self.target_directory.expire(self._clock.now_ms())
        if self.target_directory.change_count != before:
            self._notify()

    def _apply(self, news: list[PublishedItem], source: str) -> None:
        if not news:
            return
        for item in news:
            if item.key == self._rules_key:
                self._take_rules(item, source)
        now_ms = self._clock.now_ms()
        self.target_directory.apply(news, now_ms)
        log_event(
            Event.FACTS_CHANGED,
            source=source,
            revision=max(item.revision for item in news),
            items=len(news),
            removed=sum(item.value is None for item in news),
            targets=len(self.target_directory),
            age_ms=self.age_ms(),
        )
        self._notify()

    def _take_rules(self, item: PublishedItem, source: str) -> None:
        if item.value is None:
            log_event(
                Event.RULES_REJECTED, reason='removed', revision=item.revision
            )
            return
        try:
            rules = self._decode_rules(item.value)
        except DocumentError as error:
            log_event(
                Event.RULES_REJECTED,
                reason=str(error),
                revision=item.revision,
            )
            return
        if rules.version <= self.version:
            return
        log_event(
            Event.RULES_APPLIED,
            version=rules.version,
            before=self.version,
            source=source,
            revision=item.revision,
            customers=[
                f'{rule.name} {rule.rank} {rule.rate_per_s:.0f}'
                for rule in rules.customers_by_name.values()
            ],
        )
        self.rules = rules

    def _notify(self) -> None:
        for notify in self.on_change:
            notify()
