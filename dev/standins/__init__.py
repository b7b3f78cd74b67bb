"""Stand-ins for the environment of the entry and control daemons.

These are the platform, workers, backend servers and the network. The platform
of the node program is in ``dev.platform_standin``.
"""
