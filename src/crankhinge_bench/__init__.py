"""The load and experiment tool: starts the programs over the stand-ins and measures them."""
