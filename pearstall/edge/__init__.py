"""Device sessions for unreliable connections: the state that outlives a connection, and its wire protocols."""
