"""Stand-ins of the platform, the upstreams and the network for tests and benches."""
