"""The two-year capacity target and its bounds, as stated by the users."""

WORKERS = 740
ACCELERATORS = 1100
TASKS = 19_000
JOBS_A_DAY = 2500
ORGANISATIONS = 86
DOMAINS = 6
CONFIGURATION_CHANGES_A_DAY = 1100
# Today's number; the target does not state one.
ENTRY_VMS = 7

CPU_PERCENT = 1.8
RESIDENT_MB = 64.0
KB_S = 2.0
PLATFORM_CALLS_S = 2000
PLATFORM_WRITES_S = 300
CONFIGURATION_S = 6.0

S_A_DAY = 86_400
