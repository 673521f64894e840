"""Durable state: voters, distribution of the document, and claims."""
