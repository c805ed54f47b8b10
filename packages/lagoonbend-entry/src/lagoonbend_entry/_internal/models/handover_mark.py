"""Marks of calls that an instance hands over to another one.

They are headers between instances, and none of the users' platform.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import urllib.parse

from lagoonbend.facts import ListedTarget
from lagoonbend_entry._internal.utils import bounded

HEADER_HANDED_OVER = 'lagoonbend-handed-over'
"""Marks a call that must not be handed over again. It is 2 if the sender
understands a call that is handed back; earlier versions send 1."""
HANDED_OVER_VALUE = '2'
HEADER_HANDED_BACK = 'lagoonbend-handed-back'
"""Marks a refusal of such a call, for a reason that concerns the refusing
instance alone. The call has not run."""
HEADER_SOFTWARE = 'lagoonbend-software'
"""Names, in the answer to such a call, the software version that has begun the
stream, percent-encoded. Earlier versions of an instance don't send it."""
HEADER_TARGET = 'lagoonbend-target'
"""Names, in the answer to such a call, the target that gave it and its start,
so that what the answer says of the target counts for the sender, too."""
HEADER_RULES_VERSION = 'lagoonbend-rules-version'
"""Names, in such a call, the version of the configuration that has admitted
it. Earlier versions of an instance don't send it."""
HEADER_BOUND_VERSION = 'lagoonbend-bound-version'
"""Names, in such a call, the only software version whose targets may get it,
percent-encoded. Earlier versions of an instance don't send it."""
ANSWER_MARKS = (HEADER_SOFTWARE, HEADER_TARGET)


def is_handed_over(header_map: Mapping[str, str]) -> bool:
    """Return True if another instance hands a call over.

    :param header_map: first value of each header by lower-case name.
    """
    return HEADER_HANDED_OVER in header_map


def may_hand_back(header_map: Mapping[str, str]) -> bool:
    """Return True if its sender asks another instance then."""
    return header_map.get(HEADER_HANDED_OVER) == HANDED_OVER_VALUE


def mark_rules_version(
    headers: Iterable[tuple[str, str]], version: int
) -> Iterator[tuple[str, str]]:
    """Yield the headers of a call, with the version that has admitted it."""
    for name, value in headers:
        if name.lower() != HEADER_RULES_VERSION:
            yield name, value
    yield HEADER_RULES_VERSION, str(version)


def mark_bound_version(
    headers: Iterable[tuple[str, str]], version: str | None
) -> Iterator[tuple[str, str]]:
    """Yield the headers of a call, with the version that it is bound to."""
    for name, value in headers:
        if name.lower() != HEADER_BOUND_VERSION:
            yield name, value
    if version is not None:
        yield HEADER_BOUND_VERSION, urllib.parse.quote(version)


def find_bound_version(header_map: Mapping[str, str]) -> str | None:
    """Return the version that a call is bound to; None if it names none."""
    value = header_map.get(HEADER_BOUND_VERSION)
    return None if value is None else urllib.parse.unquote(value)


def find_rules_version(header_map: Mapping[str, str]) -> int:
    """Return the version that has admitted a call; 0 if it isn't named."""
    return bounded.read_digits(header_map.get(HEADER_RULES_VERSION, '')) or 0


def list_refusal_marks(header_map: Mapping[str, str]) -> list[tuple[str, str]]:
    """Return the headers of a refusal that hand a call back.

    :param header_map: the call's headers.
    """
    return [(HEADER_HANDED_BACK, '1')] if may_hand_back(header_map) else []


def is_handed_back(header_map: Mapping[str, str]) -> bool:
    """Return True if an answer that no target has signed hands a call back."""
    return HEADER_HANDED_BACK in header_map


def mark_answer(
    headers: Iterable[tuple[str, str]], target: ListedTarget
) -> list[tuple[str, str]]:
    """Return the headers of an answer, with the target that gave it."""
    marked = remove_marks(headers)
    if target.software_version is not None:
        version = urllib.parse.quote(target.software_version)
        marked.append((HEADER_SOFTWARE, version))
    marked.append((HEADER_TARGET, _encode_life(target)))
    return marked


def remove_marks(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of an answer without what a peer has added."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in ANSWER_MARKS
    ]


def find_software(header_map: Mapping[str, str]) -> str | None:
    """Return the version that an answer names; None if it names none."""
    value = header_map.get(HEADER_SOFTWARE)
    return None if value is None else urllib.parse.unquote(value)


def find_life(header_map: Mapping[str, str]) -> tuple[str, int | None] | None:
    """Return the target that an answer names, and the start of its life.

    :returns: its identity and its start in Unix milliseconds, None if that
        isn't known; None if the answer names no target.
    """
    name, _, born = header_map.get(HEADER_TARGET, '').partition(';')
    if not name:
        return None
    return urllib.parse.unquote(name), bounded.read_digits(born)


def _encode_life(target: ListedTarget) -> str:
    return f'{urllib.parse.quote(target.target)};{target.born_ms}'
