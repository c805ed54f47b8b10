"""Counts of calls that waited for a target with their prompt cached."""


class KeptPromptTotals:
    """Sums over all pools of an instance since its start.

    ``waits`` counts the waits that have begun, and ``abandoned`` those that
    ended without the target, also because the caller left. ``saved_ms`` is
    the time saved by estimate, less the wait, of the calls that obtained their
    target; ``lost_ms`` is the time waited by those that then took another.
    """

    def __init__(self) -> None:
        self.waits = 0
        self.abandoned = 0
        self.saved_ms = 0.0
        self.lost_ms = 0
