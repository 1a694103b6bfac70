"""The checker of a releases' history finds broken invariants."""

import pytest


def row(
    index: int,
    target: str,
    fence: int,
    state: str,
    over: bool = False,
    node: str = "a",
) -> dict[str, object]:
    return {
        "event": "permit",
        "index": index,
        "target": target,
        "fence": fence,
        "state": state,
        "over": over,
        "by": "op",
        "node": node,
    }


DESCRIBED = {
    "event": "releases.described",
    "index": 1,
    "node": "a",
    "targets": [[name, "node", "east" if name < "c" else "west", [], "x"] for name in "abcd"],
    "budgets": [["fleet", 1, None, "node", "", "", "", False]],
}
SERVERS = {**DESCRIBED, "index": 2, "targets": [[name, "server", "", ["s"], ""] for name in "ab"]}


@pytest.mark.parametrize(
    ("events", "message"),
    [
        (
            [
                row(2, "a", 2, "granted"),
                row(3, "a", 2, "gone"),
                row(4, "a", 2, "back"),
                row(5, "b", 5, "granted"),
            ],
            "",
        ),
        ([row(2, "a", 2, "granted"), row(3, "c", 3, "granted")], "budget fleet allows 1"),
        ([row(2, "a", 2, "granted"), row(3, "c", 3, "claimed", over=True)], ""),
        ([row(2, "a", 2, "granted"), row(3, "a", 2, "back"), row(4, "c", 2, "granted")], "is of a and of c"),
        ([row(2, "a", 2, "granted"), row(3, "a", 3, "granted")], "at once"),
        ([row(2, "a", 2, "granted"), row(2, "b", 2, "granted", node="b")], "fence 2"),
        ([row(2, "a", 2, "granted"), row(2, "a", 2, "claimed", node="b")], "index 2 is"),
        ([row(2, "a", 2, "granted"), {"event": "node.out", "node": "a", "fence": 2}], "knew of no `go`"),
        (
            [
                row(2, "a", 2, "granted"),
                row(3, "a", 2, "gone"),
                {"event": "node.out", "node": "a", "fence": 2},
                row(4, "a", 2, "back"),
            ],
            "still out",
        ),
        (
            [
                row(2, "a", 2, "granted"),
                row(3, "a", 2, "gone"),
                {"event": "node.out", "node": "a", "fence": 2},
                row(4, "a", 2, "forced"),
                row(5, "c", 5, "granted"),
                row(6, "c", 5, "gone", node="c"),
                {"event": "node.out", "node": "c", "fence": 5},
            ],
            "",
        ),
        # A process that started drained has its `go` from a snapshot, and counts as out.
        (
            [
                row(2, "a", 2, "granted"),
                row(3, "a", 2, "gone"),
                {"event": "node.out", "node": "b", "fence": 2, "already": True},
            ],
            "",
        ),
        (
            [row(2, "a", 2, "granted"), {"event": "node.out", "node": "a", "fence": 2, "already": True}],
            "no `go`",
        ),
        (
            [
                row(2, "a", 2, "granted"),
                row(3, "a", 2, "gone"),
                {"event": "node.out", "node": "a", "fence": 2},
                {"event": "node.in", "node": "a"},
                row(4, "a", 2, "back"),
                row(5, "c", 5, "granted"),
                row(6, "c", 5, "gone", node="c"),
                {"event": "node.out", "node": "c", "fence": 5},
                {"event": "node.out", "node": "a", "fence": 2, "already": True},
            ],
            "own word ['a', 'c'] are out",
        ),
        ([SERVERS, row(3, "a", 3, "granted"), row(4, "b", 4, "granted")], "the last of service s, b"),
        ([SERVERS, row(3, "a", 3, "granted"), row(4, "b", 4, "claimed", over=True)], ""),
        (
            [
                {
                    "event": "release",
                    "index": index,
                    "name": "r",
                    "target": "a",
                    "what": "sent",
                    "back": False,
                }
                for index in (2, 3)
            ],
            "twice in release r",
        ),
    ],
)
def test_the_checker_finds_each_broken_invariant(events: list[dict[str, object]], message: str) -> None:
    from beechrock.lab.fleet.checkers import check

    found = check([DESCRIBED, *events], ["releases"])
    assert bool(found) is bool(message) and message in " ".join(found)
