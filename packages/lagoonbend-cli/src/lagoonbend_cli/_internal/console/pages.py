"""Rendering of the console's pages, and their security headers."""

import jinja2

SECURITY_HEADERS = {
    'Content-Security-Policy': (
        "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; "
        "frame-ancestors 'none'; base-uri 'none'"
    ),
    'Referrer-Policy': 'no-referrer',
    'X-Content-Type-Options': 'nosniff',
    'Cache-Control': 'no-store',
}


class PageRenderer:
    """Renders the templates of the console.

    Values are escaped, and an undefined variable is an error.
    """

    def __init__(self) -> None:
        self._environment = jinja2.Environment(
            loader=jinja2.PackageLoader(
                'lagoonbend_cli', '_internal/console/templates'
            ),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
        )

    def render(self, page: str, /, **values: object) -> str:
        """Return a page as HTML.

        :param page: name of the template, without suffix.
        :param values: variables of the template.
        """
        template = self._environment.get_template(f'{page}.html')
        return template.render(**values)
