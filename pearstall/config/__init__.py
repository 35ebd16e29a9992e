"""The operators' settings: KDL parsing, schemas, and conversion into configuration objects."""
