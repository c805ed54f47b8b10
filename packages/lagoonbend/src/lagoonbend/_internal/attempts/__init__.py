"""One attempt to serve a call, as steps without any socket."""
