"""Settings of the console."""

from typing import NamedTuple


class ConsoleSection(NamedTuple):
    """Section ``[console]``.

    :param address: IP number to listen on.
    :param port: TCP port.
    :param partner: partner whose part the console edits.
    :param operator_name: who may sign in.
    :param password_hash: what ``lagoonbend console password`` printed.
    :param instance_addresses: operators' listeners of the instances.
    :param session_ms: how long a session lasts.
    """

    address: str
    port: int
    partner: str
    operator_name: str
    password_hash: str
    instance_addresses: str
    session_ms: int = 28_800_000


class ConsoleSettings(NamedTuple):
    """All settings of the console."""

    console: ConsoleSection
