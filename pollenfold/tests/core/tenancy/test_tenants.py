"""The look-up of tenants by key."""

from pollenfold.core.tenancy.tenants import DuplicateField, Tenant, TenantDirectory

SECRET = b"s" * 32


def test_each_key_finds_its_tenant_and_no_other_value_does():
    """Guards against a second key that is ignored, or a prefix that is accepted."""
    directory = TenantDirectory(SECRET)
    blue, green = Tenant("blue", 1), Tenant("green")
    assert directory.add(blue, ["key-1", "schlüssel"]) is None
    assert directory.add(green, ["key-2"]) is None
    assert directory.find(b"key-1") is blue
    assert directory.find("schlüssel".encode()) is blue
    assert directory.find(b"key-2") is green
    for key in (b"", b"key", b"key-1 ", b"KEY-1", b"blue"):
        assert directory.find(key) is None


def test_duplicates_are_reported():
    """Guards against two tenants with one name or one key."""
    directory = TenantDirectory(SECRET)
    assert directory.add(Tenant("blue"), ["a", "b", "a"]) is None
    assert directory.add(Tenant("blue"), ["c"]) is DuplicateField.NAME
    assert directory.add(Tenant("green"), ["d", "b"]) is DuplicateField.KEY


def test_directory_holds_no_key():
    """Guards against keys in a memory image, or in the text of a directory."""
    directory = TenantDirectory(SECRET)
    directory.add(Tenant("blue"), ["very-secret"])
    assert "very-secret" not in repr(directory)
    assert all(b"very-secret" not in key_hash for key_hash in directory._by_hash)
