"""WSGI application of the web console."""

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
from lagoonbend_cli._internal.console.entity import format_entry
from lagoonbend_cli._internal.console.entity import KEY_FIELD
from lagoonbend_cli._internal.console.entity import parse_entry
from lagoonbend_cli._internal.console.pages import PageRenderer
from lagoonbend_cli._internal.console.pages import SECURITY_HEADERS
from lagoonbend_cli._internal.console.passwords import is_correct_password
from lagoonbend_cli._internal.console.sessions import is_valid_csrf_token
from lagoonbend_cli._internal.console.sessions import Session
from lagoonbend_cli._internal.console.sessions import SessionStore
from lagoonbend_entry.dump import Dump

SESSION_COOKIE = 'lagoonbend_session'
MAX_FORM_BYTES = 65_536
NAVIGATION_LINKS = (
    ('/', 'Overview'),
    *((f'/{entity.name}', entity.title) for entity in ENTITIES.values()),
    ('/document', 'Document'),
)
FetchDump = Callable[[str], Dump]


class ConsoleContext:
    """State that the resources of the console share.

    :param settings: section ``[console]`` of the settings.
    :param clock: clock by which sessions expire.
    :param draft: document part that is edited.
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
        self.sessions = SessionStore(clock, settings.session_ms)
        self.fetch_dump = fetch_dump
        self._page_renderer = PageRenderer()

    def show(
        self,
        response: falcon.Response,
        page: str,
        title: str,
        *,
        session: Session | None,
        current_path: str = '',
        **values: object,
    ) -> None:
        """Answer with a rendered page.

        :param page: name of the template, without suffix.
        :param title: title and heading of the page.
        :param session: session of the operator; None before the sign-in.
        :param current_path: path of the navigation link to highlight.
        :param values: further variables of the template.
        """
        response.content_type = 'text/html; charset=utf-8'
        response.text = self._page_renderer.render(
            page,
            title=title,
            session=session,
            here=current_path,
            links=NAVIGATION_LINKS,
            **values,
        )


class AuthenticationMiddleware:
    """Requires a session for every page but the sign-in.

    A posted form must also carry the CSRF token of the session.

    :param console: state of the console.
    """

    def __init__(self, console: ConsoleContext) -> None:
        self._console = console

    def process_request(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Set security headers; attach form and session to the request.

        :raises HTTPSeeOther: if the operator is not signed in.
        :raises HTTPForbidden: if a form has no valid CSRF token.
        """
        for header_name, value in SECURITY_HEADERS.items():
            response.set_header(header_name, value)
        if request.method == 'POST':
            request.context.form = _parse_form(request)
        if request.path == '/sign-in':
            return
        token = request.cookies.get(SESSION_COOKIE, '')
        session = self._console.sessions.find(token)
        if session is None:
            raise falcon.HTTPSeeOther('/sign-in')
        request.context.session = session
        if request.method == 'POST':
            form = request.context.form
            if not is_valid_csrf_token(session, form.get('csrf_token', '')):
                raise falcon.HTTPForbidden(
                    title='The form is out of date',
                    description='Open the page again and repeat.',
                )


class ConsoleResource:
    """Base of the resources of the console.

    :param console: state of the console.
    """

    def __init__(self, console: ConsoleContext) -> None:
        self._console = console


class SignInResource(ConsoleResource):
    """``/sign-in``."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Show the sign-in form."""
        self._show(response, '', '')

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Check name and password; begin a session."""
        form = request.context.form
        settings = self._console.settings
        name = form.get('name', '')
        is_password_correct = is_correct_password(
            form.get('password', ''), settings.password_hash
        )
        if name != settings.operator_name or not is_password_correct:
            response.status = 401
            self._show(response, name, 'Name or password is wrong.')
            return
        response.set_cookie(
            SESSION_COOKIE,
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
        """End the session; redirect to the sign-in."""
        self._console.sessions.end(request.cookies.get(SESSION_COOKIE, ''))
        response.unset_cookie(SESSION_COOKIE)
        raise falcon.HTTPSeeOther('/sign-in')


class OverviewResource(ConsoleResource):
    """``/``: the revision in force at each instance and failure domain."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Show the state of all instances that answer."""
        rows, failures = self._fetch_dumps()
        domains: dict[str, list[int]] = {}
        for row in rows:
            revisions = domains.setdefault(row['failure_domain'], [])
            revisions.append(row['part_revision'])
        draft = self._console.draft
        self._console.show(
            response,
            'overview',
            'Overview',
            session=request.context.session,
            current_path='/',
            partner=draft.partner,
            base_revision=draft.base_part['revision'],
            base_digest=compute_digest(draft.base_part),
            is_changed=draft.is_changed,
            rows=rows,
            domains=domains,
            failures=failures,
            conflicts=sorted(
                {
                    revision
                    for row in rows
                    for revision in row['part_conflicts']
                }
            ),
        )

    def _fetch_dumps(self) -> tuple[list[Dump], list[str]]:
        rows, failures = [], []
        for address in self._console.settings.instance_addresses.split():
            try:
                rows.append(self._console.fetch_dump(address))
            except NetworkError as error:
                failures.append(str(error))
        return rows, failures


class EntriesResource(ConsoleResource):
    """``/customers``, ``/tiers`` and ``/rules``: the entries of a list."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Show the entries of the list."""
        show_entries(self._console, request, response, name, '')


class DeleteResource(ConsoleResource):
    """``/customers/0/delete`` and the same for the other lists."""

    def on_post(
        self,
        request: falcon.Request,
        response: falcon.Response,
        name: str,
        index: str,
    ) -> None:
        """Delete an entry; show the error if the part would not be valid."""
        draft = self._console.draft
        entity = find_entity(name)
        entry_index, _ = find_entry(draft, entity, index)
        if entry_index is None:
            raise falcon.HTTPNotFound
        try:
            draft.delete(name, entry_index)
        except DocumentError as error:
            response.status = 422
            show_entries(self._console, request, response, name, str(error))
            return
        raise falcon.HTTPSeeOther(f'/{name}')


class EntryResource(ConsoleResource):
    """``/customers/0``, ``/customers/new`` and the same for other lists."""

    def on_get(
        self,
        request: falcon.Request,
        response: falcon.Response,
        name: str,
        index: str,
    ) -> None:
        """Show the form of an entry, empty for a new one."""
        entity = find_entity(name)
        _, entry = find_entry(self._console.draft, entity, index)
        texts = format_entry(entity, entry or {})
        self._show(request, response, entity, texts, {}, '')

    def on_post(
        self,
        request: falcon.Request,
        response: falcon.Response,
        name: str,
        index: str,
    ) -> None:
        """Save the entry in the draft, or show the form with its errors."""
        entity = find_entity(name)
        draft = self._console.draft
        entry_index, old_entry = find_entry(draft, entity, index)
        form = request.context.form
        entry, errors = parse_entry(entity, form, old_entry)
        error_text = (
            'Nothing was kept: see the fields below.' if errors else ''
        )
        if not errors:
            try:
                draft.put(name, entry_index, entry)
            except DocumentError as error:
                error_text = str(error)
        if error_text:
            response.status = 422
            self._show(request, response, entity, form, errors, error_text)
            return
        raise falcon.HTTPSeeOther(f'/{name}')

    def _show(
        self,
        request: falcon.Request,
        response: falcon.Response,
        entity: Entity,
        texts: dict[str, str],
        errors: dict[str, str],
        error_text: str,
    ) -> None:
        self._console.show(
            response,
            'entry',
            f'Edit a {entity.singular}',
            session=request.context.session,
            current_path=f'/{entity.name}',
            entity=entity,
            texts=texts,
            errors=errors,
            error=error_text,
        )


class DocumentResource(ConsoleResource):
    """``/document``: the changes of the draft and the document to publish."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Show the changes as a diff."""
        draft = self._console.draft
        part = draft.build_document()['parts'][draft.partner]
        self._console.show(
            response,
            'document',
            'Document',
            session=request.context.session,
            current_path='/document',
            partner=draft.partner,
            lines=draft.diff(),
            revision=part['revision'],
            digest=compute_digest(part),
        )

    def on_post(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer with the document as a file to download."""
        document = self._console.draft.build_document()
        text = msgspec.json.encode(document)
        response.content_type = 'application/json'
        response.downloadable_as = 'document.json'
        response.data = msgspec.json.format(text)


def find_entity(name: str) -> Entity:
    """Return the entity type whose page has this path.

    :raises HTTPNotFound: if there is no such entity type.
    """
    if name not in ENTITIES:
        raise falcon.HTTPNotFound
    return ENTITIES[name]


def find_entry(
    draft: Draft, entity: Entity, index: str
) -> tuple[int | None, dict[str, Any] | None]:
    """Return the index of an entry and the entry; None for a new one.

    :param index: last segment of the path: an index or ``new``.
    :raises HTTPNotFound: if there is no such entry.
    """
    if index == 'new':
        return None, None
    entries = draft.list_entries(entity.name)
    if not index.isdecimal() or int(index) >= len(entries):
        raise falcon.HTTPNotFound
    return int(index), entries[int(index)]


def show_entries(
    console: ConsoleContext,
    request: falcon.Request,
    response: falcon.Response,
    name: str,
    error: str,
) -> None:
    """Answer with the page of a list.

    :param name: key of the list in the document part.
    :param error: error to show above the list; may be empty.
    """
    entity = find_entity(name)
    entries = console.draft.list_entries(name)
    console.show(
        response,
        'entries',
        entity.title,
        session=request.context.session,
        current_path=f'/{name}',
        entity=entity,
        shown=[field for field in entity.fields if field.name != KEY_FIELD],
        entries=[format_entry(entity, entry) for entry in entries],
        error=error,
    )


def build_console_app(console: ConsoleContext) -> falcon.App:
    """Return the WSGI application of the console."""
    app = falcon.App(middleware=[AuthenticationMiddleware(console)])
    app.add_route('/sign-in', SignInResource(console))
    app.add_route('/sign-out', SignOutResource(console))
    app.add_route('/', OverviewResource(console))
    app.add_route('/document', DocumentResource(console))
    app.add_route('/{name}', EntriesResource(console))
    app.add_route('/{name}/{index}', EntryResource(console))
    app.add_route('/{name}/{index}/delete', DeleteResource(console))
    return app


def _parse_form(request: falcon.Request) -> dict[str, str]:
    if (request.content_length or 0) > MAX_FORM_BYTES:
        raise falcon.HTTPContentTooLarge
    body = request.bounded_stream.read().decode('utf-8', 'replace')
    return {
        name: value if isinstance(value, str) else value[-1]
        for name, value in falcon.uri.parse_query_string(
            body, keep_blank=True, csv=False
        ).items()
    }
