"""Authenticates callers and classifies their requests."""

import hashlib

from lagoonbend.attempts import refusals
from lagoonbend.configuration import CustomerEntry
from lagoonbend.configuration import DocumentPart
from lagoonbend.configuration import PartStore
from lagoonbend.configuration import RuleEntry
from lagoonbend.configuration import ShardStore
from lagoonbend.models import RefusalCode
from lagoonbend.models import RequestClass

BEARER = 'Bearer '


class RequestRules:
    """Applies the customers and rules of the active document part.

    :param store: holds the active document part.
    :param shards: holds the part's shards of customers.
    """

    def __init__(self, store: PartStore, shards: ShardStore) -> None:
        self._store = store
        self._shards = shards

    def authenticate(self, authorization: str) -> CustomerEntry:
        """Return the customer to whom a bearer key belongs.

        :raises RefusedError: if the key is missing or unknown.
        """
        part = self._require_part()
        key = authorization.removeprefix(BEARER).encode()
        digest = hashlib.sha256(key).hexdigest()
        customer = self._shards.find_customer(part, digest)
        if customer is None or not authorization.startswith(BEARER):
            raise refusals.refuse(
                401,
                RefusalCode.UNAUTHENTICATED,
                'The bearer key names no customer.',
            )
        return customer

    def classify(
        self, customer: str, method: str, path: str, model: str
    ) -> RequestClass:
        """Return the request class of the first matching rule.

        :raises RefusedError: if no rule matches.
        """
        part = self._require_part()
        for rule in part.rules:
            if _matches(rule, customer, method, path, model):
                return _build_class(part, rule)
        raise refusals.refuse(
            404, RefusalCode.NO_RULE, f'No rule covers {method} {path}.'
        )

    def _require_part(self) -> DocumentPart:
        part = self._store.current
        if part is None:
            raise refusals.refuse(
                503,
                RefusalCode.NOT_CONFIGURED,
                'This instance has no configuration yet.',
                retry_after_ms=refusals.SHORT_RETRY_AFTER_MS,
            )
        return part


def _matches(
    rule: RuleEntry, customer: str, method: str, path: str, model: str
) -> bool:
    return (
        path.startswith(rule['path'])
        and rule.get('method', method) == method
        and rule.get('model', model) == model
        and rule.get('customer', customer) == customer
    )


def _build_class(part: DocumentPart, rule: RuleEntry) -> RequestClass:
    tier = part.tiers[rule['tier']]
    return RequestClass(
        rule['name'],
        tier['name'],
        tier['rank'],
        rule['kind'],
        rule['idempotent'],
        rule.get('key_required', False),
        tier['deadline_ms'],
    )
