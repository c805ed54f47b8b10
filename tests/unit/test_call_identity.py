"""Identities by which repeats of a request are recognized.

Guards against requests that are refused for another request, and against
repeats that aren't recognized.
"""

import unittest

from lagoonbend.facts import CustomerRule
from lagoonbend.facts import Route
from lagoonbend_entry._internal.gateway.admitted_call import AdmittedCall
from lagoonbend_entry._internal.gateway.call_identity import fingerprint_call
from lagoonbend_entry._internal.platform import call_headers
from lagoonbend_entry.testing import IncomingRequest

ROUTE = Route(
    'look-up',
    'calls.example',
    '/look-up/',
    (),
    is_idempotent=True,
    is_streaming=False,
    is_resumable=False,
    timeout_ms=3_000,
    objective_ms=300,
    gap_objective_ms=400,
    attempt_limit=2,
    rank=0,
    is_public=False,
)
HEADERS = {
    'attempt-id': 'a1',
    'deadline-ms': '2000',
    'prefix-hash': 'system:50,own:50',
}


def build_admitted_call() -> AdmittedCall:
    """Return a call with a customer, a query, a body and a prompt."""
    request = IncomingRequest(
        'POST', '/look-up/x?q=1', [], HEADERS, b'body', True, True, 0
    )
    return AdmittedCall(
        request,
        call_headers.decode_call_headers(HEADERS),
        ROUTE,
        CustomerRule('first'),
        'desk',
        1,
        0,
        ROUTE.timeout_ms,
    )


class CallIdentityTest(unittest.TestCase):
    """Two requests that differ in one point."""

    def assert_differ(self, other: AdmittedCall) -> None:
        """Check that a request isn't taken for the usual one."""
        self.assertNotEqual(
            fingerprint_call(build_admitted_call()), fingerprint_call(other)
        )

    # Guards against a repeat that isn't recognized since the caller has
    # chosen a new identity and has less time.
    def test_repeat_has_the_same_identity(self) -> None:
        """Attempt and deadline differ."""
        call = build_admitted_call()
        headers = call.headers._replace(attempt='other', deadline_ms=7)
        repeat = call._replace(headers=headers, expires_at_ms=9)
        self.assertEqual(fingerprint_call(call), fingerprint_call(repeat))

    # Guards against a caller that gets another customer's request refused.
    def test_customer_method_path_body_and_prompt_count(self) -> None:
        """One of them differs."""
        call = build_admitted_call()
        request = call.request
        for changed in (
            request._replace(method='PUT'),
            request._replace(path=f'{request.path}&more=1'),
            request._replace(body=request.body + b'!'),
        ):
            self.assert_differ(call._replace(request=changed))
        assert call.customer is not None
        customer = call.customer._replace(name='other')
        self.assert_differ(call._replace(customer=customer))
        prompt = call.headers.prompt[:-1]
        headers = call.headers._replace(prompt=prompt)
        self.assert_differ(call._replace(headers=headers))

    # Guards against parts that are moved from one field to the next.
    def test_fields_do_not_run_into_each_other(self) -> None:
        """The end of the path becomes the begin of the body."""
        call = build_admitted_call()
        request = call.request
        moved = request._replace(
            path=request.path[:-1],
            body=request.path[-1:].encode() + request.body,
        )
        self.assert_differ(call._replace(request=moved))
