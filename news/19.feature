Send nothing to a target that says in an answer that it leaves. Bound every
read of a head, a body, an event and a rejection in bytes and time.
