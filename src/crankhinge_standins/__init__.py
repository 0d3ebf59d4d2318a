"""Small stand-ins for the systems that crankhinge meets: for tests, the demo and benchmarks.

The product never imports this package.
"""
