"""The agent: the process that runs beside a backend server and forwards requests to it.

Only the agent sends requests to its server. It keeps the queue of waiting requests and decides who
may use the server's memory slots.
"""
