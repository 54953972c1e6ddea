"""Links between routers: signed messages, the reporting tree, notices."""
