"""Facts for coordinators that are tested without a store."""

from collections.abc import Callable
from collections.abc import Iterable
import types
from typing import Any
from unittest import mock

from lagoonbend.facts import ListedTarget
from lagoonbend.facts import ServiceProfile


def build_facts(
    list_service: Callable[[str], Iterable[ListedTarget]],
    services: Iterable[str] = (),
) -> Any:
    """Return facts that list targets of one software version.

    :param list_service: returns the targets of a service.
    :param services: services that the rules name; none for no rules.
    """
    profiles = {name: ServiceProfile(name) for name in services}
    facts: Any = types.SimpleNamespace(
        rules=types.SimpleNamespace(services=profiles) if profiles else None,
        target_directory=mock.Mock(),
        find_only_version=mock.Mock(),
        list_versions=lambda service: set(),
        cold_targets=None,
        on_change=[],
    )
    facts.target_directory.list_service.side_effect = list_service
    return facts
