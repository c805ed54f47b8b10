Serve requests end to end: tickets, tiers, routing, limits, configuration.
