"""Small fakes of the systems around a module, for tests."""
