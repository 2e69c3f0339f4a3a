"""HTTP/1.1 client and server connections, with one request at a time on each."""
