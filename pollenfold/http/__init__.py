"""HTTP/1.1 over curio sockets with h11, for callers and backend servers."""
