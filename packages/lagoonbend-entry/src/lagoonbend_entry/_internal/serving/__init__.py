"""Request handling: from reading a request to relaying its answer."""
