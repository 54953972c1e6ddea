"""Which routers and upstreams are there, and which addresses callers get."""
