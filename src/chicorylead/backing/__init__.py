"""The log service and VM list that the project itself defines, and their client."""
