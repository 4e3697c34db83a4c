"""The error of an invalid document of the platform."""


class DocumentError(ValueError):
    """A document is invalid; the message names the field."""
