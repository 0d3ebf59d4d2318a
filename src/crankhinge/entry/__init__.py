"""The entry: authenticates callers and chooses the backend servers for their requests."""
