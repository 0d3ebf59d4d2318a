"""Load and experiment tool: runs the programs against stand-in servers and measures them."""
