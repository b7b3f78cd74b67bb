"""HTTP stand-ins for the platform, workers, backend servers and network."""
