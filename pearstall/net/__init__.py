"""The router on sockets."""
