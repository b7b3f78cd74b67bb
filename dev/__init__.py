"""Development programs: stand-ins, demo and measurements."""
