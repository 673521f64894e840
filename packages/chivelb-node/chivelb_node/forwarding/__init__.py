"""Requests that are passed on to targets byte by byte."""
