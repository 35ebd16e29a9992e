"""The operators' settings: KDL documents, their schema, and what they mean."""
