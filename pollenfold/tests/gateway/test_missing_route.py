"""What callers of a route that the entry's configuration lacks are told."""

import pytest

from pollenfold.core.confirmation import Confirmations
from pollenfold.http.messages import find_header
from pollenfold.tests.gateway.conftest import Backend


@pytest.mark.parametrize("target", [b"/new/1", b"/"])
def test_route_is_not_denied_while_a_newer_state_is_known_to_exist(with_path, target):
    """Guards against 404 for a route that was added while the new configuration is
    still on its way to this entry."""

    async def body(path, backend):
        path.view.announced_index = path.view.replicated_state.index + 1
        response = await path.get(target=target)
        assert response.status == 503
        state = find_header(response.headers, b"pollenfold-run-state")
        assert state == b"did_not_run"
        assert find_header(response.headers, b"retry-after") is not None
        # Routes that the entry knows are served meanwhile.
        assert (await path.get()).status == 200

    with_path(body, Backend("one"))


def test_route_is_not_denied_before_a_majority_confirmed_the_state(with_path):
    """Guards against 404 from a process that just started beside one replica that may
    lack the last changes, or that has lost all replicas since."""

    async def body(path, backend):
        path.view.confirmations = Confirmations()
        assert (await path.get(target=b"/new/1")).status == 503
        path.confirm(index=2)
        assert (await path.get(target=b"/new/1")).status == 503
        path.confirm(index=1)
        assert (await path.get(target=b"/new/1")).status == 404

    with_path(body, Backend("one"))
