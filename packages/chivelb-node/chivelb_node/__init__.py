"""The chivelbd daemon: mode services around the decisions of the core."""
