"""Renders the pages of the console."""

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


class Pages:
    """Templates of the console; all values are escaped."""

    def __init__(self) -> None:
        self._environment = jinja2.Environment(
            loader=jinja2.PackageLoader(
                'lagoonbend_cli', '_internal/console/templates'
            ),
            autoescape=True,
            undefined=jinja2.StrictUndefined,
        )

    def render(self, page: str, /, **values: object) -> str:
        """Return a page."""
        template = self._environment.get_template(f'{page}.html')
        return template.render(**values)
