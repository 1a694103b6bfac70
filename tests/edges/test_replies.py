"""What a node makes of the reply of another one, to which policy steered a request."""

import pytest

from beechrock.net.scgi_codec import server_status


@pytest.mark.parametrize(
    ("status", "told", "steered", "found"),
    [
        (422, "", False, 422),
        (200, "", True, 200),
        (500, "422", True, 422),
        (500, "-1", True, -1),
        (500, "", True, 0),
        (404, "", True, -1),
        (503, "0", True, -1),
    ],
)
def test_a_nodes_reply_is_no_servers(status: int, told: str, steered: bool, found: int) -> None:
    assert server_status(status, {"x-replied": told} if told else {}, steered) == found
