"""A validated part of the configuration document."""

import hashlib
from typing import NamedTuple

import msgspec

from lagoonbend._internal.configuration.document import CustomerEntry
from lagoonbend._internal.configuration.document import DocumentEntry
from lagoonbend._internal.configuration.document import PartEntry
from lagoonbend._internal.configuration.document import RuleEntry
from lagoonbend._internal.configuration.document import TierEntry
from lagoonbend._internal.exceptions import DocumentError
from lagoonbend._internal.models.seat_plan import SeatPlan

TARGET_KINDS = ('engine', 'service')
NO_SEATS = SeatPlan(0, ())


class DocumentPart(NamedTuple):
    """One partner's part of the document, validated and indexed.

    :param partner: name of the partner that the part belongs to.
    :param revision: increases with each change of the part.
    :param digest: SHA-256 of the part in canonical form, in hex.
    :param parent: digest of the part that was edited to make this one.
    :param customers: customers by the hex digest of their bearer key,
        without those in shards.
    :param tiers: tiers by name.
    :param rules: rules, of which the first match applies.
    :param seats: addresses that own bare keys.
    :param shards: digests of the customers' shards, by the first hex digits
        of the key digests.
    """

    partner: str
    revision: int
    digest: str
    parent: str
    customers: dict[str, CustomerEntry]
    tiers: dict[str, TierEntry]
    rules: tuple[RuleEntry, ...]
    seats: SeatPlan
    shards: dict[str, str]

    @classmethod
    def from_entry(cls, partner: str, entry: PartEntry) -> 'DocumentPart':
        """Build a part from its entry in a document.

        :raises DocumentError: if a rule names an unknown tier or kind.
        """
        tiers = {tier['name']: tier for tier in entry['tiers']}
        for rule in entry['rules']:
            _check_rule(partner, rule, tiers)
        seats = entry.get('seats')
        return cls(
            partner,
            entry['revision'],
            compute_digest(entry),
            entry['parent'],
            {item['key_sha256']: item for item in entry['customers']},
            tiers,
            tuple(entry['rules']),
            SeatPlan(
                seats['epoch'],
                tuple(seats['seats']),
                tuple(tuple(item) for item in seats['former']),
            )
            if seats
            else NO_SEATS,
            entry.get('shards', {}),
        )


def compute_digest(entry: PartEntry) -> str:
    """Return the digest of a part; the order of its keys doesn't matter."""
    canonical = msgspec.json.encode(entry, order='sorted')
    return hashlib.sha256(canonical).hexdigest()


def parse_document(text: bytes) -> dict[str, DocumentPart]:
    """Parse a document; return its parts by partner.

    :raises DocumentError: if it is malformed or a part is invalid.
    """
    try:
        document = msgspec.json.decode(text, type=DocumentEntry)
    except msgspec.MsgspecError as error:
        raise DocumentError(
            str(error),
            context='document',
            hint='run "lagoonbend document check" on it',
        ) from error
    return {
        partner: DocumentPart.from_entry(partner, entry)
        for partner, entry in document['parts'].items()
    }


def _check_rule(
    partner: str, rule: RuleEntry, tiers: dict[str, TierEntry]
) -> None:
    context = f'part {partner}, rule {rule["name"]}'
    if rule['tier'] not in tiers:
        raise DocumentError(
            f'unknown tier {rule["tier"]!r}',
            context=context,
            hint=f'use one of {", ".join(sorted(tiers))}',
        )
    if rule['kind'] not in TARGET_KINDS:
        raise DocumentError(
            f'unknown kind {rule["kind"]!r}',
            context=context,
            hint='use engine or service',
        )
