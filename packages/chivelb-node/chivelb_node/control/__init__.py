"""Replicated state: voters, document replicas, claims and rollouts."""
