"""Which server gets a request, and whether it is admitted."""
