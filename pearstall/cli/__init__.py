"""Sub-commands: nothing but arguments, output and exit codes."""
