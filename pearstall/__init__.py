"""pearstall: a router for fleets of language-model servers."""
