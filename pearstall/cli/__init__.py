"""The sub-commands: arguments, output and exit codes only."""
