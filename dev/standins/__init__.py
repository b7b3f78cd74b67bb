"""Stand-ins for the platform, the workers and the backend servers."""
