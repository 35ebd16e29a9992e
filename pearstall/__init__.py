"""pearstall: the decisions of a request router for fleets of language-model servers."""
