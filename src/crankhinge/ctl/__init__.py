"""The operators' command line: bundles and keys, never engines."""
