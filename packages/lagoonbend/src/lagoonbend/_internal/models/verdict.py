"""Whether a request may have run."""

import enum


class Verdict(enum.Enum):
    """What is known about the execution of a request at a target."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'
