"""Exchange of state between routers in datagrams."""
