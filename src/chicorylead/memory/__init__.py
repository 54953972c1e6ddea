"""Memory and descriptors that a process holds for callers and upstreams."""
