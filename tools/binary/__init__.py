"""Build ashpond as a single executable file."""
