"""Start of a whole cluster of stand-ins and daemons on one machine."""
