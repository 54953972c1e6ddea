"""The router process: callers' and operators' interfaces, dispatch, life cycle."""
