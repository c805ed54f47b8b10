"""Forms of the operators' console, tested without a browser.

The tests guard against pages that are shown without a session, changes by a
forged form, input that is lost or not escaped, and a document that is invalid
or contains a plain key.
"""

import re
import unittest

import falcon.testing

from lagoonbend.clock import PausedClock
from lagoonbend.configuration import compute_digest
from lagoonbend.configuration import parse_document
from lagoonbend.exceptions import NetworkError
from lagoonbend_cli._internal.console.console_app import build_console_app
from lagoonbend_cli._internal.console.console_app import ConsoleContext
from lagoonbend_cli._internal.console.console_settings import ConsoleSection
from lagoonbend_cli._internal.console.draft import Draft
from lagoonbend_cli._internal.console.passwords import hash_password
from lagoonbend_devkit._internal.fleet.sample_document import build_document
from lagoonbend_devkit._internal.fleet.sample_document import build_sample_part
from lagoonbend_devkit._internal.fleet.sample_document import PARTNER
from lagoonbend_entry.dump import Dump

PASSWORD = 'a good password'
SESSION_MS = 1_000
CUSTOMER = {'name': 'hosts', 'bearer_key': 'secret-key', 'rate_per_s': '5'}


class ConsoleTest(unittest.TestCase):
    """Sends requests to a new console in each test."""

    def setUp(self) -> None:
        """Build a console with the sample document."""
        self.clock = PausedClock()
        self.part = build_sample_part(3, ['127.0.0.1:7000'])
        settings = ConsoleSection(
            '127.0.0.1',
            9100,
            PARTNER,
            'operator',
            hash_password(PASSWORD),
            '127.0.0.1:1',
            SESSION_MS,
        )
        draft = Draft(PARTNER, build_document(self.part))
        console = ConsoleContext(
            settings, self.clock, draft, _raise_network_error
        )
        self.client = falcon.testing.TestClient(build_console_app(console))

    def test_pages_need_a_session(self) -> None:
        """A page without a session redirects to the sign-in page."""
        for path in ('/', '/customers', '/customers/0', '/document'):
            result = self.client.simulate_get(path)
            self.assertEqual(303, result.status_code)
            self.assertEqual('/sign-in', result.headers['location'])

    def test_wrong_password_keeps_the_name(self) -> None:
        """The form is shown again with the name that was entered."""
        result = self._post('/sign-in', name='operator', password='wrong')
        self.assertEqual(401, result.status_code)
        self.assertIn('value="operator"', result.text)

    def test_session_ends(self) -> None:
        """A session ends after its lifetime, and at sign-out."""
        self._sign_in()
        self.clock.advance(SESSION_MS)
        self.assertEqual(303, self._get('/').status_code)
        self._sign_in()
        self._post('/sign-out', csrf_token=self._read_token())
        self.assertEqual(303, self._get('/').status_code)

    def test_form_without_token_changes_nothing(self) -> None:
        """A forged form of another site lacks the CSRF token."""
        self._sign_in()
        result = self._post('/customers/new', **CUSTOMER)
        self.assertEqual(403, result.status_code)
        self.assertNotIn('hosts', self._get('/customers').text)

    def test_invalid_field_keeps_the_input(self) -> None:
        """The field is marked; the input is kept, except for the key."""
        self._sign_in()
        typed = {**CUSTOMER, 'rate_per_s': 'many'}
        result = self._send('/customers/new', **typed)
        self.assertEqual(422, result.status_code)
        self.assertIn('value="many"', result.text)
        self.assertIn('value="hosts"', result.text)
        self.assertIn('aria-invalid', result.text)
        self.assertNotIn('secret-key', result.text)

    def test_document_contains_the_change(self) -> None:
        """The document is valid, has the next revision and names its parent.

        The page of the document shows the change as a diff.
        """
        self._sign_in()
        result = self._send('/customers/new', **CUSTOMER)
        self.assertEqual(303, result.status_code)
        self.assertIn('+', self._get('/document').text)
        document = self._send('/document').content
        part = parse_document(document)[PARTNER]
        self.assertEqual(4, part.revision)
        self.assertEqual(compute_digest(self.part), part.parent)
        names = {item['name'] for item in part.customers.values()}
        self.assertEqual({'trail-app', 'hosts'}, names)
        self.assertNotIn(b'secret-key', document)

    def test_key_is_kept_when_its_field_is_empty(self) -> None:
        """Changing the limit of a customer does not change its key."""
        self._sign_in()
        self._send('/customers/0', name='trail-app', rate_per_s='7')
        part = parse_document(self._send('/document').content)[PARTNER]
        self.assertEqual(
            {self.part['customers'][0]['key_sha256']}, set(part.customers)
        )

    def test_tier_in_use_can_not_be_deleted(self) -> None:
        """The page reports the reference to an unknown tier."""
        self._sign_in()
        result = self._send('/tiers/0/delete')
        self.assertEqual(422, result.status_code)
        self.assertIn('unknown tier', result.text)
        self.assertEqual(404, self._send('/tiers/new/delete').status_code)

    def test_two_entries_of_one_name_are_refused(self) -> None:
        """Names must be unique."""
        self._sign_in()
        result = self._send(
            '/tiers/new', name='trail', rank='5', deadline_ms='1'
        )
        self.assertEqual(422, result.status_code)
        self.assertIn('same name', result.text)

    def test_markup_is_escaped(self) -> None:
        """Markup in a field is shown as text."""
        self._sign_in()
        self._send('/customers/new', name='<b>x', bearer_key='k')
        self.assertIn('&lt;b&gt;x', self._get('/customers').text)

    def test_overview_shows_unreachable_instances(self) -> None:
        """The address of an instance that does not answer is shown."""
        self._sign_in()
        self.assertIn('127.0.0.1:1: down', self._get('/').text)

    def _sign_in(self) -> None:
        result = self._post('/sign-in', name='operator', password=PASSWORD)
        self.assertEqual(303, result.status_code)
        self.cookie = result.cookies['lagoonbend_session'].value

    def _read_token(self) -> str:
        found = re.search(
            'name="csrf_token" value="([^"]+)"', self._get('/').text
        )
        assert found is not None
        return found[1]

    def _get(self, path: str) -> falcon.testing.Result:
        cookies = {'lagoonbend_session': self.cookie}
        return self.client.simulate_get(path, cookies=cookies)

    def _send(self, path: str, **form: str) -> falcon.testing.Result:
        return self._post(path, csrf_token=self._read_token(), **form)

    def _post(self, path: str, **form: str) -> falcon.testing.Result:
        cookie = getattr(self, 'cookie', '')
        return self.client.simulate_post(
            path,
            body=falcon.to_query_str(form, prefix=False),
            headers={'Content-Type': 'application/x-www-form-urlencoded'},
            cookies={'lagoonbend_session': cookie},
        )


def _raise_network_error(address: str) -> Dump:
    raise NetworkError('down', context=address)
