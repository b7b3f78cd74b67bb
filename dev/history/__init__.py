"""The recorded history of a run and the properties checked on it."""
