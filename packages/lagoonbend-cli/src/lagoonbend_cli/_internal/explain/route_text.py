"""Text of an answer of ``lagoonbend explain-route``."""

from collections.abc import Iterator

from lagoonbend_entry.explanation import RefusalAnswer
from lagoonbend_entry.explanation import RouteExplanation
from lagoonbend_entry.explanation import RouteQuestion
from lagoonbend_entry.explanation import ServiceAnswer
from lagoonbend_entry.explanation import TargetAnswer

MILLISECONDS_PER_SECOND = 1000


def format_explanation(
    question: RouteQuestion, answer: RouteExplanation
) -> Iterator[str]:
    """Yield the lines of an answer."""
    age = _format_ms(answer['fact_age_ms'])
    yield (
        f'instance {answer["instance"]} in {answer["failure_domain"]}, '
        f'configuration {answer["version"]} confirmed {age} ago'
    )
    if not answer['is_current']:
        yield 'its facts are too old to be sure'
    domains = ', '.join(answer['evacuated_domains']) or 'none'
    yield f'evacuated domains: {domains}'
    route = answer['route']
    if route is None:
        yield f'no route matches {question.host}{question.path}'
    else:
        yield (
            f'route {route["name"]} ({route["path_prefix"]}), '
            f'rank {route["rank"]}, objective {route["objective_ms"]} ms, '
            f'timeout {route["timeout_ms"]} ms, '
            f'{"public" if route["is_public"] else "not public"}'
        )
        yield from _format_customer(question, answer)
    if answer['refusal'] is not None:
        yield f'the call is refused: {_format_refusal(answer["refusal"])}'
    if len(answer['services']) > 1:
        yield 'the choice of a service depends on the identity of the call'
    for service in answer['services']:
        yield from _format_service(service, answer['instance'])


def _format_customer(
    question: RouteQuestion, answer: RouteExplanation
) -> Iterator[str]:
    customer = answer['customer']
    if customer is None:
        name = question.customer
        text = f'unknown customer {name}' if name else 'no customer'
        yield f'{text}, rank of the call {answer["rank"]}'
        return
    yield (
        f'customer {customer["name"]}, rank of the call {answer["rank"]} '
        f'(customer: {_format_optional(customer["rank"])})'
    )
    if not customer['rate_per_s']:
        yield '  no limit'
        return
    unit = customer['unit']
    level = customer['level_units']
    yield (
        f'  limit {customer["rate_per_s"]:g} {unit}s a second and a burst of '
        f'{customer["burst"]:g}, of which this instance may grant '
        f'{customer["usable_share"]:.0%}; the call costs '
        f'{customer["cost_units"]:g}'
    )
    yield (
        '  no call of it was charged here'
        if level is None
        else f'  left here now: {level:.1f}'
    )


def _format_service(service: ServiceAnswer, instance: str) -> Iterator[str]:
    yield f'service {service["service"]}, weight {service["weight"]:g}'
    if service['refusal'] is not None:
        yield (
            '  refused without asking for a slot: '
            f'{_format_refusal(service["refusal"])}'
        )
    for pool in service['pools']:
        marks = [
            mark
            for mark, is_set in (
                ('home', pool['is_home']),
                (f'chosen: {service["choice"]}', pool['is_chosen']),
            )
            if is_set
        ]
        yield (
            f'  pool {pool["pool"]}: expected wait as known here '
            f'{pool["wait_ms"]} ms{_format_list(marks)}'
        )
    decider = service['decider']
    if service['is_decided_here']:
        yield f'  decider of the pool: this instance, {instance}'
    else:
        yield (
            f'  decider of the pool: {decider}; ask that instance for '
            'the state of the targets'
        )
    scheduler = service['scheduler']
    if scheduler is None:
        if service['is_decided_here']:
            yield '  no scheduler yet: the first call creates it'
    else:
        yield (
            f'  expected wait {scheduler["wait_ms"]} ms, '
            f'{scheduler["waiting"]} calls wait'
        )
        if scheduler['refusal'] is not None:
            yield f'  refused: {_format_refusal(scheduler["refusal"])}'
        elif scheduler['chosen']:
            yield f'  target {scheduler["chosen"]} would run the call'
        else:
            yield '  the call would wait for a slot'
    chosen = scheduler['chosen'] if scheduler else ''
    for target in sorted(service['targets'], key=_make_sort_key):
        yield from _format_target(target, target['target'] == chosen)


def _format_target(target: TargetAnswer, is_chosen: bool) -> Iterator[str]:
    marker = '*' if is_chosen else '-' if target['reasons'] else ' '
    held = _format_optional(target['held'])
    text = (
        f'  {marker} {target["target"]} in {target["failure_domain"]}, '
        f'{held}/{target["slots"]} slots'
    )
    if target['cold_ms']:
        text += f', cold for {target["cold_ms"]} ms'
    if target['rate_per_s'] is not None:
        text += f', {target["rate_per_s"]:.1f} calls a second'
    if target['rate_wait_ms']:
        text += f', the next in {target["rate_wait_ms"]} ms'
    if target['reasons']:
        text += f', out: {", ".join(target["reasons"])}'
    if target['tolerated']:
        text += f', used although: {", ".join(target["tolerated"])}'
    yield text
    cost = target['cost']
    if cost is not None:
        yield (
            f'      cost {cost["total_ms"]:g} ms = '
            f'(first byte {cost["first_byte_ms"]:g} with '
            f'{target["cached_tokens"]} tokens cached '
            f'+ load {cost["load_ms"]:g} '
            f'+ other domain {cost["other_domain_ms"]:g}) '
            f'x faults {cost["fault_factor"]:g}'
        )


def _make_sort_key(target: TargetAnswer) -> tuple[bool, float, str]:
    """Order targets by cost, with those that are out at the end."""
    cost = target['cost']
    return (
        bool(target['reasons']),
        cost['total_ms'] if cost else float('inf'),
        target['target'],
    )


def _format_refusal(refusal: RefusalAnswer) -> str:
    text = f'{refusal["status"]} {refusal["reason"]}'
    after_ms = refusal['retry_after_ms']
    if after_ms is None:
        return text
    text += f', Retry-After {after_ms / MILLISECONDS_PER_SECOND:.3f}'
    if refusal['spread_ms']:
        last_ms = after_ms + refusal['spread_ms']
        text += f' to {last_ms / MILLISECONDS_PER_SECOND:.3f}'
    return text


def _format_list(marks: list[str]) -> str:
    return f' ({", ".join(marks)})' if marks else ''


def _format_ms(value_ms: int | None) -> str:
    return 'never' if value_ms is None else f'{value_ms} ms'


def _format_optional(value: int | None) -> str:
    return 'none' if value is None else str(value)
