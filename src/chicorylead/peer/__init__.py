"""What routers tell each other in datagrams."""
