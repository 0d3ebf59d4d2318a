"""The thin instance that callers reach: it knows who asks, and chooses where a request goes."""
