"""Uses the queue with shedding by tier as a library, without the daemon.

The queue holds two calls; the third and most urgent one displaces a draft.
"""

from lagoonbend.invariants import Invariants
from lagoonbend.queueing import TierQueue

queue: TierQueue[str] = TierQueue(2, Invariants())
for name, rank in (('draft 1', 2), ('draft 2', 2), ('question', 0)):
    offer = queue.offer(name, rank, deadline_ms=1_000)
    displaced = offer.displaced.item if offer.displaced else 'nobody'
    print(f'{name} waits, {displaced} lost its place')
print('order:', ', '.join(waiter.item for waiter in queue))
