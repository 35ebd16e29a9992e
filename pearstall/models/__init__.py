"""Small exhaustive models: the real objects, driven through every ordering of a few events."""
