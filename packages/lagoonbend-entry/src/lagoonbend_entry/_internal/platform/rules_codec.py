"""Decodes the operators' configuration as published by the platform."""

from typing import Any

import msgspec

from lagoonbend.exceptions import DocumentError
from lagoonbend.facts import CallerBounds
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend.facts import RuleSet
from lagoonbend.facts import ServiceProfile
from lagoonbend.facts import WeightedService
from lagoonbend_entry._internal.platform import names


def decode_rules(content: bytes) -> RuleSet:
    """Return the rules in a published configuration.

    :raises DocumentError: if it can't be decoded.
    """
    try:
        fields = msgspec.json.decode(content)
        return _read_rules(fields)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise DocumentError(
            f'{type(error).__name__}: {error}',
            context=names.RULES_KEY,
            hint='the previous version stays in force',
        ) from error


def _read_rules(fields: dict[str, Any]) -> RuleSet:
    routes: dict[str, list[Route]] = {}
    for entry in fields['routes']:
        route = _read_route(entry)
        routes.setdefault(route.host, []).append(route)
    customers: dict[str, CustomerRule] = {}
    for entry in fields.get('tenants') or ():
        rule = _read_customer(entry)
        for key in entry.get('api-keys') or ():
            customers[key] = rule
    services = [_read_service(entry) for entry in fields['services']]
    return RuleSet(
        int(fields['version']),
        {
            host: tuple(sorted(items, key=_get_sort_key))
            for host, items in routes.items()
        },
        {service.name: service for service in services},
        customers,
        {rule.name: rule for rule in customers.values()},
        'tenants' in fields,
        _read_bounds(fields['limits']),
    )


def _get_sort_key(route: Route) -> int:
    return -len(route.path_prefix)


def _read_route(entry: dict[str, Any]) -> Route:
    kind = entry['route-kind']
    if kind not in names.ROUTE_KINDS:
        raise ValueError(f'route {entry["name"]} has unknown kind {kind!r}')
    return Route(
        name=entry['name'],
        host=entry['hostname'].lower(),
        path_prefix=entry['prefix'],
        services=_read_route_services(entry),
        is_idempotent=kind == 'safe',
        is_streaming=kind == 'streaming',
        is_resumable=bool(entry.get('resumable')),
        timeout_ms=int(entry['timeout-ms']),
        objective_ms=int(entry['target-latency-ms']),
        gap_objective_ms=int(entry.get('gap-target-ms') or 0),
        attempt_limit=max(1, int(entry['max-attempts'])),
        rank=int(entry.get('priority') or 0),
        is_public=bool(entry.get('public')),
    )


def _read_route_services(entry: dict[str, Any]) -> tuple[WeightedService, ...]:
    shares = entry.get('weighted-services')
    if not shares:
        return (WeightedService(entry['service'], 1.0),)
    return tuple(
        WeightedService(share['service'], float(share['weight']))
        for share in shares
    )


def _read_service(entry: dict[str, Any]) -> ServiceProfile:
    engine = entry.get('engine')
    return ServiceProfile(
        name=entry['name'],
        connection_limit=int(entry.get('max-connections') or 0),
        is_engine=engine is not None,
        memory_tokens=int((engine or {}).get('kv-capacity') or 0),
    )


def _read_customer(entry: dict[str, Any]) -> CustomerRule:
    rank = entry.get('priority')
    return CustomerRule(
        name=entry['name'],
        rank=None if rank is None else int(rank),
        rate_per_s=float(entry.get('rate-per-s') or 0),
        burst=float(entry.get('burst') or 0),
        counts_tokens=entry.get('unit') == names.TOKEN_UNIT,
        default_tokens=int(entry.get('uncached-tokens') or 0),
    )


def _read_bounds(limits: dict[str, Any]) -> CallerBounds:
    return CallerBounds(
        header_bytes=int(limits['max-header-bytes']),
        body_bytes=int(limits['max-body-bytes']),
        header_timeout_ms=int(limits['header-timeout-ms']),
        idle_timeout_ms=int(limits['idle-timeout-ms']),
    )
