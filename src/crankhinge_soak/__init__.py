"""Randomized faults on the real programs, and a checker that sees only what users see.

The gateway runs as separate processes between stand-ins of the users' platform; faults come from
outside: signals, proxies on loopback, a store and a clock that misbehave. The checker reads what
callers got and what backend servers recorded, and no internals.
"""
