Serve calls on the users' platform: `python -m lagoonbend_entry.gateway`, with
slots at targets granted by one instance per pool, facts with an age from the
store and from peers, and `lagoonbend explain`.
