"""Requests for the slots of calls."""

from collections.abc import Container
from collections.abc import Iterator

from lagoonbend.clock import Clock
from lagoonbend.facts import ListedTarget
from lagoonbend.facts import VersionBinding
from lagoonbend.scheduling import rank_continued_stream
from lagoonbend.scheduling import RankOrder
from lagoonbend.scheduling import SlotRequest
from lagoonbend_entry._internal.coordination.pool_chooser import PoolChooser
from lagoonbend_entry._internal.gateway.admission import count_cost_units
from lagoonbend_entry._internal.gateway.call_progress import CallProgress
from lagoonbend_entry._internal.gateway.closed_targets import ClosedTargets
from lagoonbend_entry._internal.gateway.facts_cache import FactsCache
from lagoonbend_entry._internal.gateway.reply_writer import ReplyWriter

CALLER_PATIENCE_MS = 2_000
"""Shortest pause in a stream after which a caller gives it up."""
EVACUATION_CHECK_MS = 1_000
"""Time after which a call asks again while all targets of its service are
evacuated; the end of an evacuation is known within about that time."""


class SlotRequests:
    """Builds slot requests, and tells when none is of use.

    :param facts: configuration and target list as last read.
    :param pools: chooses the pools of calls.
    :param closed_targets: targets that get no requests.
    :param clock: clock of the instance.
    :param instance: this instance's address for peers and its failure
        domain.
    :param rank_order: combines the rank of a customer and of a route.
    """

    def __init__(
        self,
        facts: FactsCache,
        pools: PoolChooser,
        closed_targets: ClosedTargets,
        clock: Clock,
        instance: tuple[str, str],
        rank_order: RankOrder,
    ) -> None:
        self._facts = facts
        self._pools = pools
        self._closed_targets = closed_targets
        self._clock = clock
        self._rank_order = rank_order
        self._address, self._failure_domain = instance
        self._count = 0

    def build(
        self,
        progress: CallProgress,
        reply: ReplyWriter,
        excluded: tuple[str, ...] = (),
    ) -> SlotRequest:
        """Return a slot request for the next attempt.

        The rest of a stream has to go on before its caller gives up, and comes
        before most new calls, whether this instance continues it or the
        caller takes it up. One whose answer has begun here counts as a call
        that arrives now. A call that has been granted a slot costs no units
        of its customer's limit again.

        :param excluded: further targets that are not to be tried.
        """
        call = progress.call
        all_excluded = (*self._list_excluded(progress), *excluded)
        self._count += 1
        now_ms = self._clock.now_ms()
        arrived_ms = call.request.received_ms - call.waited_before_ms
        if reply.has_begun:
            arrived_ms = now_ms
        customer = call.customer
        rank = self._rank_order(
            customer.rank if customer else None, call.route.rank
        )
        objective_ms = call.route.objective_ms
        if reply.has_begun or call.headers.last_event:
            rank = rank_continued_stream(rank)
            objective_ms = max(objective_ms, CALLER_PATIENCE_MS)
        output_tokens = call.headers.output_tokens
        if call.headers.estimated_output_tokens:
            output_tokens = min(
                output_tokens, 2 * call.headers.estimated_output_tokens
            )
        return SlotRequest(
            call=f'{call.headers.attempt}/{self._count}',
            instance=self._address,
            failure_domain=self._failure_domain,
            pool=self._pools.choose(
                call.service, call.headers.prompt, all_excluded
            ),
            rank=rank,
            route_rank=call.route.rank,
            customer=customer.name if customer else '',
            cost_units=(
                0.0
                if progress.is_charged
                else count_cost_units(customer, call.headers)
            ),
            waited_ms=now_ms - arrived_ms,
            objective_ms=objective_ms,
            deadline_ms=call.expires_at_ms - arrived_ms,
            prompt=call.headers.prompt,
            output_tokens=output_tokens,
            body_bytes=len(call.request.body),
            excluded=all_excluded,
        )

    def list_open(self, service: str) -> list[ListedTarget]:
        """Return the targets of a service that get requests now."""
        targets = self._facts.target_directory.list_service(service)
        closed = set(self._closed_targets.list_closed(targets))
        return [target for target in targets if target.target not in closed]

    @staticmethod
    def may_use(progress: CallProgress, targets: list[ListedTarget]) -> bool:
        """Return True if one of these targets may run a call."""
        binding = progress.binding
        return any(
            target.target not in progress.excluded
            and (binding is None or binding.allows(target))
            for target in targets
        )

    def find_pause_ms(self, progress: CallProgress) -> int | None:
        """Return the time to the end of the first pause.

        A service of which all targets are evacuated counts as paused, for a
        time that isn't known.

        :returns: None unless all targets that may still run the call pause.
        """
        return self.find_service_pause_ms(
            progress.call.service, progress.excluded, progress.binding
        )

    def find_service_pause_ms(
        self,
        service: str,
        excluded: Container[str] = (),
        binding: VersionBinding | None = None,
    ) -> int | None:
        """Return the time to the end of the first pause, as above.

        :param excluded: targets that must not run the call.
        :param binding: version that it is bound to; None for any.
        """
        directory = self._facts.target_directory
        if directory.is_service_evacuated(service):
            return EVACUATION_CHECK_MS
        pauses = self._closed_targets.pauses
        if not pauses:
            return None
        first_ms: int | None = None
        for target in directory.list_service(service):
            if self._closed_targets.is_leaving(target) or (
                binding and not binding.allows(target)
            ):
                continue
            left_ms = pauses.find_left_ms(target)
            if left_ms:
                first_ms = min(left_ms, first_ms or left_ms)
            elif target.target not in excluded:
                return None
        return first_ms

    def _list_excluded(self, progress: CallProgress) -> Iterator[str]:
        """Yield the targets that must not run the call."""
        yield from progress.excluded
        service = progress.call.service
        targets = self._facts.target_directory.list_service(service)
        yield from self._closed_targets.list_closed(targets)
        if progress.binding is None:
            return
        for target in targets:
            if not progress.binding.allows(target):
                yield target.target
