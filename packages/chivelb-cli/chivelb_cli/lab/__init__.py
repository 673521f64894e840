"""Stand-ins for runners, stores, the weight store and plain services."""
