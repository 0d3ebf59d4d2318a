"""The process in the slot beside a backend server.

It alone gives its server orders, owns the queue before it and the truth about its memory slots.
"""
