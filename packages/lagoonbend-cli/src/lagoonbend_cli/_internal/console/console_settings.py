"""Settings of the web console."""

from typing import NamedTuple


class ConsoleSection(NamedTuple):
    """Section ``[console]``.

    :param address: IP address to listen on.
    :param port: TCP port.
    :param partner: partner whose document part the console edits.
    :param operator_name: name of the operator who may sign in.
    :param password_hash: hash that ``lagoonbend console password`` printed.
    :param instance_addresses: operators' listeners of the instances, as
        ``ip:port``, separated by white space.
    :param session_ms: time from the sign-in until a session expires.
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
