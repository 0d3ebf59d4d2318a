"""Injects random faults into real processes and checks what their users see.

The gateways run as separate processes between stand-ins of the users' platform. Faults come from
outside: signals, proxies on loopback, a faulty store and a skewed clock. The checker reads what
callers received and what backend servers recorded, and no internal state of the gateways.
"""
