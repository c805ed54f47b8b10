Send nothing to a target that says in an answer that it leaves. Bound every
read of a head, a body, an event and a rejection in bytes and time.
Send nothing to a target that has asked for a pause (503 with `Retry-After`)
until it ends; refuse calls at once while all targets pause. Order facts by the
store's era, then by revision, so that a store that comes back from an older
copy takes back neither the configuration nor a known departure of a target.
