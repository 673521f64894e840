"""What callers, operators and targets reach over HTTP."""
