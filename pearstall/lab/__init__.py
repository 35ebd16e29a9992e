"""The laboratory: stand-in servers, shaped links, devices, and ledgers that hold them to account."""
