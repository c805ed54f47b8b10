"""The console's WSGI application."""

from collections.abc import Callable
from typing import Any

import falcon
import msgspec

from lagoonbend.clock import Clock
from lagoonbend.configuration import compute_digest
from lagoonbend.exceptions import DocumentError
from lagoonbend.exceptions import NetworkError
from lagoonbend_cli._internal.console.console_settings import ConsoleSection
from lagoonbend_cli._internal.console.draft import Draft
from lagoonbend_cli._internal.console.entity import ENTITIES
from lagoonbend_cli._internal.console.entity import Entity
from lagoonbend_cli._internal.console.entity import KEY_FIELD
from lagoonbend_cli._internal.console.entity import read_entry
from lagoonbend_cli._internal.console.entity import write_texts
from lagoonbend_cli._internal.console.pages import Pages
from lagoonbend_cli._internal.console.pages import SECURITY_HEADERS
from lagoonbend_cli._internal.console.passwords import is_password
from lagoonbend_cli._internal.console.sessions import is_csrf_token
from lagoonbend_cli._internal.console.sessions import Session
from lagoonbend_cli._internal.console.sessions import Sessions
from lagoonbend_entry.dump import Dump

COOKIE = 'lagoonbend_session'
FORM_LIMIT_BYTES = 65_536
LINKS = (
    ('/', 'Overview'),
    *((f'/{entity.name}', entity.title) for entity in ENTITIES.values()),
    ('/document', 'Document'),
)
FetchDump = Callable[[str], Dump]


class Console:
    """Everything that the console's resources share.

    :param settings: settings of the console.
    :param clock: clock of the console.
    :param draft: part that is edited.
    :param fetch_dump: returns the state of the instance at an address.
    """

    def __init__(
        self,
        settings: ConsoleSection,
        clock: Clock,
        draft: Draft,
        fetch_dump: FetchDump,
    ) -> None:
        self.settings = settings
        self.draft = draft
        self.sessions = Sessions(clock, settings.session_ms)
        self.fetch_dump = fetch_dump
        self._pages = Pages()

    def show(
        self,
        response: falcon.Response,
        page: str,
        title: str,
        *,
        session: Session | None,
        here: str = '',
        **values: object,
    ) -> None:
        """Answer with a page."""
        response.content_type = 'text/html; charset=utf-8'
        response.text = self._pages.render(
            page,
            title=title,
            session=session,
            here=here,
            links=LINKS,
            **values,
        )


class Guard:
    """Lets only signed-in operators in, and only forms with their token.

    :param console: the console.
    """

    def __init__(self, console: Console) -> None:
        self._console = console

    def process_request(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Find the session; check the token of a form."""
        for name, value in SECURITY_HEADERS.items():
            response.set_header(name, value)
        if request.method == 'POST':
            request.context.form = _read_form(request)
        if request.path == '/sign-in':
            return
        token = request.cookies.get(COOKIE, '')
        session = self._console.sessions.find(token)
        if session is None:
            raise falcon.HTTPSeeOther('/sign-in')
        request.context.session = session
        if request.method == 'POST':
            form = request.context.form
            if not is_csrf_token(session, form.get('csrf_token', '')):
                raise falcon.HTTPForbidden(
                    title='The form is out of date',
                    description='Open the page again and repeat.',
                )


class ConsoleResource:
    """A page of the console.

    :param console: the console.
    """

    def __init__(self, console: Console) -> None:
        self._console = console


class SignInResource(ConsoleResource):
    """``/sign-in``."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Show the form."""
        self._show(response, '', '')

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Begin a session."""
        form = request.context.form
        settings = self._console.settings
        name = form.get('name', '')
        good = is_password(form.get('password', ''), settings.password_hash)
        if name != settings.operator_name or not good:
            response.status = 401
            self._show(response, name, 'Name or password is wrong.')
            return
        response.set_cookie(
            COOKIE,
            self._console.sessions.begin(name),
            http_only=True,
            same_site='Strict',
            secure=False,
            path='/',
        )
        raise falcon.HTTPSeeOther('/')

    def _show(self, response: falcon.Response, name: str, error: str) -> None:
        self._console.show(
            response,
            'sign_in',
            'Sign in',
            session=None,
            name=name,
            error=error,
        )


class SignOutResource(ConsoleResource):
    """``/sign-out``."""

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """End the session."""
        self._console.sessions.end(request.cookies.get(COOKIE, ''))
        response.unset_cookie(COOKIE)
        raise falcon.HTTPSeeOther('/sign-in')


class OverviewResource(ConsoleResource):
    """``/``: where which revision is in force."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Show the page."""
        rows, failures = self._read_dumps()
        domains: dict[str, list[int]] = {}
        for row in rows:
            found = domains.setdefault(row['failure_domain'], [])
            found.append(row['part_revision'])
        draft = self._console.draft
        self._console.show(
            response,
            'overview',
            'Overview',
            session=request.context.session,
            here='/',
            partner=draft.partner,
            base_revision=draft.base_part['revision'],
            base_digest=compute_digest(draft.base_part),
            is_changed=draft.is_changed,
            rows=rows,
            domains=domains,
            failures=failures,
            conflicts=sorted({c for r in rows for c in r['part_conflicts']}),
        )

    def _read_dumps(self) -> tuple[list[Dump], list[str]]:
        rows, failures = [], []
        for address in self._console.settings.instance_addresses.split():
            try:
                rows.append(self._console.fetch_dump(address))
            except NetworkError as error:
                failures.append(str(error))
        return rows, failures


class EntriesResource(ConsoleResource):
    """``/customers`` and its like: the entries of a list."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Show the entries."""
        show_entries(self._console, request, response, name, '')


class DeleteResource(ConsoleResource):
    """``/customers/0/delete`` and its like."""

    def on_post(
        self,
        request: falcon.Request,
        response: falcon.Response,
        name: str,
        index: str,
    ) -> None:
        """Delete an entry."""
        draft = self._console.draft
        entity = find_entity(name)
        number, _ = find_entry(draft, entity, index)
        if number is None:
            raise falcon.HTTPNotFound
        try:
            draft.delete(name, number)
        except DocumentError as error:
            response.status = 422
            show_entries(self._console, request, response, name, str(error))
            return
        raise falcon.HTTPSeeOther(f'/{name}')


class EntryResource(ConsoleResource):
    """``/customers/0``, ``/customers/new`` and their like."""

    def on_get(
        self,
        request: falcon.Request,
        response: falcon.Response,
        name: str,
        index: str,
    ) -> None:
        """Show the form of an entry."""
        entity = find_entity(name)
        _, entry = find_entry(self._console.draft, entity, index)
        texts = write_texts(entity, entry or {})
        self._show(request, response, entity, texts, {}, '')

    def on_post(
        self,
        request: falcon.Request,
        response: falcon.Response,
        name: str,
        index: str,
    ) -> None:
        """Keep an entry in the draft."""
        entity = find_entity(name)
        draft = self._console.draft
        number, old = find_entry(draft, entity, index)
        form = request.context.form
        entry, errors = read_entry(entity, form, old)
        problem = 'Nothing was kept: see the fields below.' if errors else ''
        if not errors:
            try:
                draft.put(name, number, entry)
            except DocumentError as error:
                problem = str(error)
        if problem:
            response.status = 422
            self._show(request, response, entity, form, errors, problem)
            return
        raise falcon.HTTPSeeOther(f'/{name}')

    def _show(
        self,
        request: falcon.Request,
        response: falcon.Response,
        entity: Entity,
        texts: dict[str, str],
        errors: dict[str, str],
        problem: str,
    ) -> None:
        self._console.show(
            response,
            'entry',
            f'Edit a {entity.singular}',
            session=request.context.session,
            here=f'/{entity.name}',
            entity=entity,
            texts=texts,
            errors=errors,
            error=problem,
        )


class DocumentResource(ConsoleResource):
    """``/document``: the changes, and the document to publish."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Show the changes."""
        draft = self._console.draft
        part = draft.build_document()['parts'][draft.partner]
        self._console.show(
            response,
            'document',
            'Document',
            session=request.context.session,
            here='/document',
            partner=draft.partner,
            lines=draft.diff(),
            revision=part['revision'],
            digest=compute_digest(part),
        )

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the document as a file."""
        document = self._console.draft.build_document()
        text = msgspec.json.encode(document)
        response.content_type = 'application/json'
        response.downloadable_as = 'document.json'
        response.data = msgspec.json.format(text)


def find_entity(name: str) -> Entity:
    """Return an entity by the path of its page.

    :raises HTTPNotFound: if there is none.
    """
    if name not in ENTITIES:
        raise falcon.HTTPNotFound
    return ENTITIES[name]


def find_entry(
    draft: Draft, entity: Entity, index: str
) -> tuple[int | None, dict[str, Any] | None]:
    """Return the number of an entry and the entry; None for a new one.

    :raises HTTPNotFound: if there is no such entry.
    """
    if index == 'new':
        return None, None
    entries = draft.list_entries(entity.name)
    if not index.isdecimal() or int(index) >= len(entries):
        raise falcon.HTTPNotFound
    return int(index), entries[int(index)]


def show_entries(
    console: Console,
    request: falcon.Request,
    response: falcon.Response,
    name: str,
    error: str,
) -> None:
    """Answer with the entries of a list."""
    entity = find_entity(name)
    entries = console.draft.list_entries(name)
    console.show(
        response,
        'entries',
        entity.title,
        session=request.context.session,
        here=f'/{name}',
        entity=entity,
        shown=[item for item in entity.fields if item.name != KEY_FIELD],
        entries=[write_texts(entity, entry) for entry in entries],
        error=error,
    )


def build_console_app(console: Console) -> falcon.App:
    """Return the application of the console."""
    app = falcon.App(middleware=[Guard(console)])
    app.add_route('/sign-in', SignInResource(console))
    app.add_route('/sign-out', SignOutResource(console))
    app.add_route('/', OverviewResource(console))
    app.add_route('/document', DocumentResource(console))
    app.add_route('/{name}', EntriesResource(console))
    app.add_route('/{name}/{index}', EntryResource(console))
    app.add_route('/{name}/{index}/delete', DeleteResource(console))
    return app


def _read_form(request: falcon.Request) -> dict[str, str]:
    if (request.content_length or 0) > FORM_LIMIT_BYTES:
        raise falcon.HTTPContentTooLarge
    body = request.bounded_stream.read().decode('utf-8', 'replace')
    return {
        name: value if isinstance(value, str) else value[-1]
        for name, value in falcon.uri.parse_query_string(
            body, keep_blank=True, csv=False
        ).items()
    }
