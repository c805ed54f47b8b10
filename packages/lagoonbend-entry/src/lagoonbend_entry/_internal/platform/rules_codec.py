"""Decodes the operators' configuration as published by the platform."""

from typing import Any

from lagoonbend.exceptions import DocumentError
from lagoonbend.facts import CallerBounds
from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend.facts import RuleSet
from lagoonbend.facts import ServiceProfile
from lagoonbend.facts import WeightedService
from lagoonbend_entry._internal.platform import names
from lagoonbend_entry._internal.utils import bounded

MILLISECONDS_PER_SECOND = 1000
LOWEST_RANK = -bounded.MAX_INTEGER
UNUSABLE = (AttributeError, KeyError, OverflowError, TypeError, ValueError)
"""What is raised by a value of another type or out of range."""


def decode_rules(content: bytes) -> RuleSet:
    """Return the rules in a published configuration.

    :raises DocumentError: if it can't be decoded.
    """
    try:
        fields = bounded.decode_json(content, dict[str, Any], context='rules')
        return _read_rules(fields)
    except UNUSABLE as error:
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
            customers[bounded.read_text(key)] = rule
    services = [_read_service(entry) for entry in fields['services']]
    return RuleSet(
        bounded.read_integer(fields['version']),
        {
            host: tuple(sorted(items, key=lambda item: -len(item.path_prefix)))
            for host, items in routes.items()
        },
        {service.name: service for service in services},
        customers,
        {rule.name: rule for rule in customers.values()},
        'tenants' in fields,
        _read_bounds(fields['limits']),
    )


def _read_route(entry: dict[str, Any]) -> Route:
    kind = entry['route-kind']
    if kind not in names.ROUTE_KINDS:
        raise ValueError(f'route {entry["name"]} has unknown kind {kind!r}')
    return Route(
        name=bounded.read_text(entry['name']),
        host=bounded.read_text(entry['hostname']).lower(),
        path_prefix=bounded.read_text(entry['prefix']),
        services=_read_route_services(entry),
        is_idempotent=kind == 'safe',
        is_streaming=kind == 'streaming',
        is_resumable=bool(entry.get('resumable')),
        timeout_ms=bounded.read_integer(entry['timeout-ms']),
        objective_ms=bounded.read_integer(entry['target-latency-ms']),
        gap_objective_ms=bounded.read_integer(entry.get('gap-target-ms')),
        attempt_limit=max(1, bounded.read_integer(entry['max-attempts'])),
        rank=bounded.read_integer(entry.get('priority'), LOWEST_RANK),
        is_public=bool(entry.get('public')),
    )


def _read_route_services(entry: dict[str, Any]) -> tuple[WeightedService, ...]:
    shares = entry.get('weighted-services')
    if not shares:
        return (WeightedService(bounded.read_text(entry['service']), 1.0),)
    return tuple(
        WeightedService(
            bounded.read_text(share['service']),
            bounded.read_fraction(share['weight']),
        )
        for share in shares
    )


def _read_service(entry: dict[str, Any]) -> ServiceProfile:
    engine = entry.get('engine')
    return ServiceProfile(
        name=bounded.read_text(entry['name']),
        connection_limit=bounded.read_integer(entry.get('max-connections')),
        is_engine=engine is not None,
        memory_tokens=bounded.read_integer((engine or {}).get('kv-capacity')),
        health_path=bounded.read_text(entry.get('health-path') or ''),
        cold_start_ms=int(
            bounded.read_fraction(entry.get('cold-start-s'))
            * MILLISECONDS_PER_SECOND
        ),
        cold_rate_per_s=bounded.read_fraction(entry.get('cold-per-s')),
    )


def _read_customer(entry: dict[str, Any]) -> CustomerRule:
    rank = entry.get('priority')
    return CustomerRule(
        name=bounded.read_text(entry['name']),
        rank=None if rank is None else bounded.read_integer(rank, LOWEST_RANK),
        rate_per_s=bounded.read_fraction(entry.get('rate-per-s')),
        burst=bounded.read_fraction(entry.get('burst')),
        counts_tokens=entry.get('unit') == names.TOKEN_UNIT,
        default_tokens=bounded.read_integer(entry.get('uncached-tokens')),
    )


def _read_bounds(limits: dict[str, Any]) -> CallerBounds:
    return CallerBounds(
        header_bytes=bounded.read_integer(limits['max-header-bytes']),
        body_bytes=bounded.read_integer(limits['max-body-bytes']),
        header_timeout_ms=bounded.read_integer(limits['header-timeout-ms']),
        idle_timeout_ms=bounded.read_integer(limits['idle-timeout-ms']),
    )
