Serve calls on the users' platform: `python -m lagoonbend_entry.gateway`, with
places at targets given by one instance a pool, facts with an age from the
store and from peers, and `lagoonbend explain`.
