"""Tests of how a node interprets the reply of another node to which policy steered a request."""

import pytest

from beechrock.net.scgi_codec import server_status


@pytest.mark.parametrize(
    ("status", "replied", "steered", "found"),
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
def test_a_failed_reply_of_another_node_is_not_taken_for_the_services(
    status: int, replied: str, steered: bool, found: int
) -> None:
    assert server_status(status, {"x-replied": replied} if replied else {}, steered) == found
