"""Interface of the project's own platform (log service and VM list), and a client."""
