"""HTTP/1.1 connections to and from the process, one request at a time on each."""
