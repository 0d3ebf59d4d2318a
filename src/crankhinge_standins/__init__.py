"""Stand-ins for the systems around crankhinge, for tests, the demo and benchmarks.

The product never imports this package.
"""
