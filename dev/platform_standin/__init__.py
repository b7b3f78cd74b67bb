"""Stand-in (test double) for the platform that the node program runs on.

Implements the parts of the platform's published interfaces that jobs on real
processes need: the store, the placement adviser, workers and the operators'
entries. Tests can inject faults. The stand-ins that the entry and control
daemons run on are in ``dev.standins``.
"""
