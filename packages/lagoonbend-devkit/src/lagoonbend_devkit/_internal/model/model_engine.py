"""A simulated inference engine."""

from lagoonbend.models import Target
from lagoonbend_devkit._internal.model.event_heap import EventHeap
from lagoonbend_devkit._internal.standins.engine_core import EngineCore
from lagoonbend_devkit._internal.standins.engine_core import EngineJob
from lagoonbend_devkit._internal.standins.engine_core import EngineSpeed

MILLISECONDS_PER_SECOND = 1000


class ModelEngine:
    """Runs steps of continuous batching while there are jobs.

    ``slowdown`` multiplies the duration of a step; it is not announced to
    the instances.

    :param name: name of the target.
    :param speed: speed and cache size.
    :param computed_prefixes: prefixes that any engine has computed before;
        shared by all engines.
    :param heap: event queue of the simulation.
    """

    def __init__(
        self,
        name: str,
        speed: EngineSpeed,
        computed_prefixes: set[int],
        heap: EventHeap,
    ) -> None:
        self.target = Target(name, 'engine', '', 0, '', ('model',))
        self.core = EngineCore(speed, computed_prefixes)
        self.slowdown = 1
        self._speed = speed
        self._heap = heap
        self._is_stepping = False

    @property
    def true_tokens_per_s(self) -> float:
        """Tokens that the engine computes per second, with its slowdown."""
        step_ms = self._speed.step_ms * self.slowdown
        return self._speed.step_tokens * MILLISECONDS_PER_SECOND / step_ms

    def add(self, job: EngineJob) -> None:
        """Start a job."""
        self.core.add(job)
        if not self._is_stepping:
            self._is_stepping = True
            self._schedule()

    def _schedule(self) -> None:
        self._heap.call_after(self._speed.step_ms * self.slowdown, self._step)

    def _step(self) -> None:
        self.core.step()
        if self.core.running:
            self._schedule()
        else:
            self._is_stepping = False
