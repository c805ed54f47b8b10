"""``python -m lagoonbend_devkit``: the demonstration, or a stand-in.

``demo`` runs the demonstration, ``published-demo`` the one on stand-ins of
the users' platform; ``platform PORT``, ``service PORT``,
``engine-old PORT`` and ``engine-new PORT`` run a stand-in; ``measure NAME``
runs an experiment and prints its table; ``worlds FIRST LAST STEPS`` makes
long seeded runs; ``soak FIRST LAST SECONDS`` runs real processes under the
faults of each seed.
"""

import sys

from lagoonbend_devkit._internal.demo.demo import run_demo
from lagoonbend_devkit._internal.experiments.commands import EXPERIMENTS
from lagoonbend_devkit._internal.gateway import gateway_demo
from lagoonbend_devkit._internal.soak.soak import run_soaks
from lagoonbend_devkit._internal.standins.engine import build_engine
from lagoonbend_devkit._internal.standins.engine_core import EngineSpeed
from lagoonbend_devkit._internal.standins.platform import build_platform
from lagoonbend_devkit._internal.standins.service import build_service
from lagoonbend_devkit._internal.standins.standin_server import serve_standin
from lagoonbend_devkit._internal.worlds.long_run import run_worlds

ENGINE_SPEEDS = {
    'engine-old': EngineSpeed(40, 128, 32),
    'engine-new': EngineSpeed(10, 256, 128),
}
"""Simulated speed by kind of engine."""
STANDIN_KINDS = ('platform', 'service', *ENGINE_SPEEDS)
EXIT_USAGE_ERROR = 2


def main(arguments: list[str]) -> int:
    """Run the command that the arguments name; return the exit code."""
    if not arguments or arguments[0] in ('-h', '--help'):
        print(__doc__)
        return 0 if arguments else EXIT_USAGE_ERROR
    if arguments == ['demo']:
        return run_demo()
    if arguments == ['published-demo']:
        return gateway_demo.run_gateway_demo()
    if arguments[0] == 'measure':
        print(EXPERIMENTS[arguments[1]]())
        return 0
    if arguments[0] == 'worlds':
        first_seed, last_seed, step_count = map(int, arguments[1:])
        return min(1, run_worlds(first_seed, last_seed, step_count))
    if arguments[0] == 'soak' and len(arguments) == 4:
        first_seed, last_seed = map(int, arguments[1:3])
        return min(1, run_soaks(first_seed, last_seed, float(arguments[3])))
    if arguments[0] not in STANDIN_KINDS or len(arguments) != 2:
        print(__doc__, file=sys.stderr)
        return EXIT_USAGE_ERROR
    kind, port = arguments[0], int(arguments[1])
    if kind == 'platform':
        app = build_platform()
    elif kind == 'service':
        app = build_service()
    else:
        app = build_engine(ENGINE_SPEEDS[kind])
    serve_standin(app, port)
    return 0


sys.exit(main(sys.argv[1:]))
