"""How the cost of the control mechanisms grows, measured on real code."""

from collections.abc import Callable
import random
import time
import tracemalloc

import msgspec

from lagoonbend.claims import ClaimLedger
from lagoonbend.claims import KeyOwnership
from lagoonbend.claims import KeyWindow
from lagoonbend.claims import TicketIssuer
from lagoonbend.clock import PausedClock
from lagoonbend.configuration import PartStore
from lagoonbend.configuration import ShardStore
from lagoonbend.configuration import split_customers
from lagoonbend.invariants import Invariants
from lagoonbend.limits import CustomerLimit
from lagoonbend.limits import CustomerLimiter
from lagoonbend.membership import FleetView
from lagoonbend.models import ClaimRequest
from lagoonbend.routing import Assignment
from lagoonbend.routing import LoadReport
from lagoonbend.routing import TargetTable
from lagoonbend.routing import WorkEstimate
from lagoonbend_devkit._internal.capacity import samples
from lagoonbend_devkit._internal.capacity.slope import measure_slope
from lagoonbend_devkit._internal.capacity.slope import Slope
from lagoonbend_devkit._internal.experiments import limit_experiment
from lagoonbend_entry.peering import Digest
from lagoonbend_entry.peering import parse_fleet
from lagoonbend_entry.peering import PeerRegistry
from lagoonbend_entry.peering import read_digest
from lagoonbend_entry.peering import write_digest

PEER_COUNTS = (4, 16, 64, 256)
CUSTOMER_COUNTS = (100, 1_000, 10_000, 30_000)
CLAIM_COUNTS = (100, 1_000, 10_000, 30_000)
TARGET_COUNTS = (4, 16, 64, 256)
LOAD_COUNTS = (4, 16, 64, 100)
DESIGN_PEER_COUNT = 420
DESIGN_TARGET_COUNT = 600
DESIGN_CUSTOMER_COUNT = 30_000
DESIGN_CLAIM_COUNT = 500
DESIGN_LOAD_COUNT = 100
SHARD_DIGITS = 2
REPEAT_COUNT = 5
REPORT_COUNT = 2_000
MICROSECONDS_PER_SECOND = 1_000_000
WINDOW = KeyWindow(60_000, 20_000, 2_000)


def list_control_slopes() -> list[Slope]:
    """Measure all control mechanisms at several sizes."""
    return [
        measure_slope(
            'list of the fleet, bytes',
            'instances, with 10 targets for 7',
            PEER_COUNTS,
            lambda n: len(_encode_fleet_list(n)),
            DESIGN_PEER_COUNT,
        ),
        measure_slope(
            'reading the list, us',
            'instances, with 10 targets for 7',
            PEER_COUNTS,
            _time_fleet_parsing,
            DESIGN_PEER_COUNT,
        ),
        measure_slope(
            'all shards of customers, bytes',
            'customers',
            CUSTOMER_COUNTS,
            lambda n: sum(map(len, _split_into_shards(n).values())),
            DESIGN_CUSTOMER_COUNT,
        ),
        measure_slope(
            'largest of 256 shards, bytes',
            'customers',
            CUSTOMER_COUNTS,
            lambda n: max(map(len, _split_into_shards(n).values())),
            DESIGN_CUSTOMER_COUNT,
        ),
        measure_slope(
            'memory of the shards, bytes',
            'customers',
            CUSTOMER_COUNTS,
            _measure_shard_memory,
            DESIGN_CUSTOMER_COUNT,
        ),
        measure_slope(
            'answer of an exchange, bytes',
            'loads carried',
            LOAD_COUNTS,
            lambda n: len(_encode_digest(n)),
            DESIGN_LOAD_COUNT,
        ),
        measure_slope(
            'exchange without the RPC, us for both ends',
            'loads carried',
            LOAD_COUNTS,
            _time_exchange,
            DESIGN_LOAD_COUNT,
        ),
        measure_slope(
            'memory of claims, bytes',
            'claims held',
            CLAIM_COUNTS,
            _measure_claim_memory,
            DESIGN_CLAIM_COUNT,
        ),
        measure_slope(
            'one claim, us',
            'claims held',
            CLAIM_COUNTS,
            _time_claim,
            DESIGN_CLAIM_COUNT,
        ),
        measure_slope(
            'memory of limits, bytes',
            'active customers',
            CUSTOMER_COUNTS,
            _measure_limiter_memory,
            DESIGN_CLAIM_COUNT,
        ),
        measure_slope(
            'refused at a fifth of the limit, %',
            'instances',
            PEER_COUNTS,
            limit_experiment.measure_wrong_refusals,
            DESIGN_PEER_COUNT,
        ),
        measure_slope(
            'customers reported a second by an instance',
            'instances, with 3.3 requests/s each of 30,000 customers',
            PEER_COUNTS,
            _count_reported_customers,
            DESIGN_PEER_COUNT,
        ),
        measure_slope(
            'choice of a target, us',
            'targets',
            TARGET_COUNTS,
            _time_target_choice,
            DESIGN_TARGET_COUNT,
        ),
    ]


def _encode_fleet_list(peers: int) -> bytes:
    fleet = samples.build_fleet_list(peers, peers * 10 // 7)
    return samples.encode_fleet_list(fleet)


def _time_fleet_parsing(peers: int) -> float:
    body = _encode_fleet_list(peers)
    return _measure_cpu_us(lambda: parse_fleet(body))


def _split_into_shards(customers: int) -> dict[str, bytes]:
    return split_customers(samples.build_customers(customers), SHARD_DIGITS)


def _measure_shard_memory(customers: int) -> float:
    shards = _split_into_shards(customers)

    def build() -> object:
        entries = {}
        for digits, body in shards.items():
            items = msgspec.json.decode(body)
            entries[digits] = {item['key_sha256']: item for item in items}
        return ShardStore(), entries, [bytes(b) for b in shards.values()]

    return _measure_memory(build) + sum(map(len, shards.values()))


def _build_table(
    clock: PausedClock, targets: int, report: LoadReport
) -> TargetTable:
    """Return a target table whose targets all have the same load."""
    table = TargetTable(
        clock,
        policy='expected_time',
        rng=random.Random(1),
        outstanding_limit=64,
        backlog_limit_ms=300,
    )
    table.apply(samples.build_targets(targets))
    for state in table:
        state.report = report._replace(target=state.target.target)
    return table


def _build_registry(loads: int) -> PeerRegistry:
    clock = PausedClock(1_000)
    table = _build_table(clock, loads, LoadReport('', 12, 30_000, 500))
    ownership = KeyOwnership(
        '10.0.0.1:7000', clock, window=WINDOW, confirm_ms=5_000
    )
    return PeerRegistry(
        'instance-001',
        '10.0.0.1:7000',
        'domain-0',
        clock,
        PartStore('partner', Invariants()),
        FleetView(clock),
        ownership,
        table,
    )


def _encode_digest(loads: int) -> bytes:
    registry = _build_registry(loads)
    return write_digest(registry.write_digest()).SerializeToString()


def _time_exchange(loads: int) -> float:
    registry = _build_registry(loads)

    def exchange() -> None:
        request_body = write_digest(
            registry.write_request_digest()
        ).SerializeToString()
        reply = registry.exchange(read_digest(Digest.FromString(request_body)))
        reply_body = write_digest(reply).SerializeToString()
        registry.record_reply(read_digest(Digest.FromString(reply_body)), 0)

    return _measure_cpu_us(exchange)


def _build_ledger() -> tuple[ClaimLedger, TicketIssuer]:
    clock = PausedClock(1_000)
    ticket_issuer = TicketIssuer('instance-001', 'incarnation', clock)
    ownership = KeyOwnership(
        '10.0.0.1:7000', clock, window=WINDOW, confirm_ms=5_000
    )
    ledger = ClaimLedger(
        clock,
        ticket_issuer,
        ownership,
        ticket_life_ms=600_000,
        window=WINDOW,
        invariants=Invariants(),
    )
    return ledger, ticket_issuer


def _fill_ledger(claims: int) -> tuple[ClaimLedger, TicketIssuer]:
    ledger, ticket_issuer = _build_ledger()
    for number in range(claims):
        key = ticket_issuer.issue('customer').to_text()
        attempt = f'instance-001-incarnation-{number}'
        ledger.claim(ClaimRequest('customer', key, attempt, number))
    return ledger, ticket_issuer


def _measure_claim_memory(claims: int) -> float:
    return _measure_memory(lambda: _fill_ledger(claims))


def _time_claim(claims: int) -> float:
    ledger, ticket_issuer = _fill_ledger(claims)

    def claim() -> None:
        key = ticket_issuer.issue('customer').to_text()
        ledger.claim(ClaimRequest('customer', key, 'attempt', 1))

    return _measure_cpu_us(claim)


def _measure_limiter_memory(customers: int) -> float:
    names = [f'customer-{number}' for number in range(customers)]

    def build() -> object:
        limiter = CustomerLimiter(PausedClock())
        for name in names:
            limiter.take(name, CustomerLimit(5.0, 20))
        return limiter

    return _measure_memory(build)


def _count_reported_customers(instance_count: int) -> float:
    """Return the mean number of customers in a report of an instance."""
    rng = random.Random(1)
    clock = PausedClock()
    limiter = CustomerLimiter(clock)
    limiter.instance_count = instance_count
    limit = CustomerLimit(5.0, 20)
    reported = 0
    for _ in range(REPORT_COUNT):
        for _ in range(rng.choice((3, 3, 4))):
            limiter.take(f'customer-{rng.randrange(30_000)}', limit)
        clock.advance(1_000)
        reported += len(limiter.list_demands())
    return reported / REPORT_COUNT


def _time_target_choice(targets: int) -> float:
    clock = PausedClock(1_000)
    table = _build_table(clock, targets, LoadReport('', 12, 500, 900))
    work = WorkEstimate(500, 50, 7, 200)

    def choose() -> None:
        table.record_arrival(work, 0)
        assignment = table.assign('engine', 'assistant', work, 0)
        if isinstance(assignment, Assignment):
            table.end(assignment)

    return _measure_cpu_us(choose)


def _measure_memory(build: Callable[[], object]) -> float:
    """Return the bytes still allocated for the result of ``build``."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


def _measure_cpu_us(function: Callable[[], object]) -> float:
    """Return the processor time of a call, in microseconds.

    The result is the smallest of ``REPEAT_COUNT`` mean values.
    """
    best = float('inf')
    for _ in range(REPEAT_COUNT):
        count = 0
        started = time.process_time()
        while time.process_time() - started < 0.02:
            function()
            count += 1
        spent = time.process_time() - started
        best = min(best, spent / count)
    return best * MICROSECONDS_PER_SECOND
