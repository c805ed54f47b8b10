"""Whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """Whether a request was executed by a target, as far as is known."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'
