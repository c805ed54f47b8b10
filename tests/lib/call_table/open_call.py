"""A call that a test holds open."""

from typing import NamedTuple

from tests.lib.call_table.call_script import CallScript
from tests.lib.call_table.recording_caller import RecordingCaller
from tests.lib.call_table.table_configuration import TableRoute


class OpenCall(NamedTuple):
    """A call with both of its ends.

    :param name: name of the call, unique on its route.
    :param route: its route.
    :param caller: its caller.
    :param script: what its target does.
    """

    name: str
    route: TableRoute
    caller: RecordingCaller
    script: CallScript

    @property
    def label(self) -> str:
        """Kind of route and name."""
        return f'{self.route.kind.name}, {self.name}'
