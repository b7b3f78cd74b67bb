"""Command-line flags that the stand-ins share."""

from absl import flags

HOSTED = flags.DEFINE_string(
    'hosted', None, 'JSON file that describes the hosted servers.'
)
LOG_FILE = flags.DEFINE_string('log_file', None, 'File for the history.')
ADMIN_PORT = flags.DEFINE_integer('admin_port', 0, 'Port for fault injection.')
