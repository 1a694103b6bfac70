"""Each path and name in backticks on the pages on architecture, crossings and on call exists."""

import re
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "architecture.md"
FILE_SUFFIXES = (".py", ".md", ".toml")
# Folders to which a path on the page may be relative.
BASES = (ROOT, ROOT / "beechrock", ROOT / "docs")


CROSSINGS = sorted((ROOT / "docs" / "crossings").glob("*.md"))
OTHER_PAGES = (*CROSSINGS, ROOT / "docs" / "oncall.md")
# Terms in backticks on those pages that are not names of this tree: operators' words, counters, examples.
EXTERNAL_TERMS = re.compile(r"svc_.*|failback|beechrock-ADDRESS-.*|\.inventory\.snapshot\.PID|~\d+|[A-Z]:?")


def terms(page: Path = PAGE) -> list[str]:
    """Return the terms in backticks on a page, each once, in order."""
    return sorted(set(re.findall(r"`([^`\n]+)`", page.read_text())))


def tracked(*patterns: str) -> list[str]:
    """Return the paths of the files that git tracks or would add."""
    found = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", *patterns],
        cwd=ROOT,
        text=True,
        capture_output=True,
        check=True,
    ).stdout.split()
    return [path for path in found if (ROOT / path).exists()]


SOURCES = "\n".join((ROOT / path).read_text() for path in tracked("beechrock/*.py"))
TESTS = "\n".join((ROOT / path).read_text() for path in tracked("tests/*.py"))
FILES = tracked("beechrock", "tests", "docs", "deploy", "benchmarks")


def exists(term: str) -> bool:
    if term.endswith("/") or term.endswith(FILE_SUFFIXES):
        return any((base / term).exists() for base in BASES)
    parts = re.findall(r"[A-Za-z_]\w*", term)
    return bool(parts) and all(re.search(rf"\b{re.escape(part)}\b", SOURCES) for part in parts)


def exists_in_tree(term: str) -> bool:
    """Return whether a term of the other pages exists; a test may be named by a part of its name."""
    owner = re.match(r"([A-Z]\w+)\.\w+$", term)
    if owner is not None and not re.search(rf"class {owner[1]}\b", SOURCES + TESTS):
        return False
    if EXTERNAL_TERMS.fullmatch(term) or exists(term):
        return True
    path, _, name = term.rpartition("::")
    wanted = re.split(r"\[", name)[0].strip(".…_")
    if wanted.endswith((*FILE_SUFFIXES, ".txt")):
        path, wanted = wanted, ""
    if path.endswith((*FILE_SUFFIXES, ".txt")) and not any(f"/{file}".endswith(f"/{path}") for file in FILES):
        return False
    if not wanted:
        return True
    if name.startswith(("test_", "...")) or path or name.count("_") > 1:
        return re.search(rf"def test_\w*{re.escape(wanted.removeprefix('test_'))}", TESTS) is not None
    file, _, inside = term.partition(": ")
    return bool(inside) and any(f"/{one}".endswith(f"/{file}") for one in FILES) and exists(inside)


@pytest.mark.parametrize("page", OTHER_PAGES, ids=lambda page: page.stem)
def test_names_on_the_pages_of_crossings_and_on_call_exist(page: Path) -> None:
    missing = [term for term in terms(page) if not exists_in_tree(term)]
    assert not missing, f"{page.relative_to(ROOT)} names {missing}"


@pytest.mark.parametrize(
    "term",
    [
        "connections/leaving.py",
        "Front.depart",
        "ScgiPeer",
        "test_gone.py::test_x",
        "test_nothing_of_the_kind",
    ],
)
def test_a_name_that_was_removed_is_noticed_on_pages_of_crossings(term: str) -> None:
    assert not exists_in_tree(term)


def test_the_page_names_modules_and_functions() -> None:
    assert len(terms()) > 100


@pytest.mark.parametrize("term", terms())
def test_each_name_on_the_architecture_page_exists(term: str) -> None:
    assert exists(term), f"docs/architecture.md names {term}, which is not there"


@pytest.mark.parametrize("term", ["core/book.py", "ModuleActor.tock", "beechrock/nowhere/"])
def test_a_name_that_does_not_exist_is_noticed(term: str) -> None:
    assert not exists(term)
