Count calls that are sent again from their first send (`call_age`), and share the
slot time of a rank among its customers (`customer_order`). Ask denied callers
back when a late call would find a slot. Use the load that targets state in their
answers: plain services get further calls under way, and a neighbour on a target's
machine changes neither its learned slowness nor its health. Learn how long the
engines of a pool take for prompts of each length. Slowness is learned against the
one in force, no longer against that at the grant, for all services.
