"""Device sessions for poor links: what outlives a connection, and the wires devices reach it by."""
