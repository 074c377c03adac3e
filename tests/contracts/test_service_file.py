"""Tests of reading service files and of the problems reported."""

from __future__ import annotations

import pathlib

import pytest

from wisteriasill.contracts import service_file

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.fixture
def folder(tmp_path: pathlib.Path) -> pathlib.Path:
    """A copy of the example site mandacaru."""
    source = EXAMPLES / "mandacaru"
    for path in source.rglob("*.toml"):
        target = tmp_path / path.relative_to(source)
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_text(path.read_text(encoding="utf-8"), encoding="utf-8")
    return tmp_path


def edit(folder: pathlib.Path, name: str, old: str, new: str) -> None:
    path = folder / name
    text = path.read_text(encoding="utf-8")
    assert old in text
    path.write_text(text.replace(old, new, 1), encoding="utf-8")


def problems(folder: pathlib.Path) -> list[str]:
    return [
        problem.text for problem in service_file.read_directory(folder).problems
    ]


@pytest.mark.parametrize("site", ["malabar", "mandacaru"])
def test_examples_have_no_problem(site: str) -> None:
    """A change of the checks must not reject the example sites."""
    read = service_file.read_directory(EXAMPLES / site)
    assert read.problems == ()
    assert len(read.services_by_name) == 5


CUTTING = "cutting/wisteriasill.toml"


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        (
            "hosts_always_usable = 5",
            "hosts_allways_usable = 5",
            [
                "8: error: pool.hosts_always_usable: this key is required",
                "10: error: pool.hosts_allways_usable = 5: unknown key; did "
                'you mean "hosts_always_usable"?',
            ],
        ),
        (
            "hosts_always_usable = 5",
            "hosts_always_usable = 7",
            [
                "10: error: pool.hosts_always_usable = 7: a pool that "
                "promises more than it holds; hosts = 6, so at most 5 would "
                "do"
            ],
        ),
        (
            "hosts_always_usable = 5",
            "hosts_always_usable = 6",
            [
                "10: error: pool.hosts_always_usable = 6: no host could ever "
                "be maintained; at most 5 would do, or hosts = 7"
            ],
        ),
        (
            "hosts = 6",
            'hosts = "6"',
            ["9: error: pool.hosts = '6': must be a whole number"],
        ),
        (
            "cores_per_host = 16",
            "cores_per_host = inf",
            ["11: error: pool.cores_per_host = 'inf': must be a number"],
        ),
        (
            "slots_per_host = 8",
            "slots_per_host = 0",
            ["13: error: pool.slots_per_host = 0: must be at least 1"],
        ),
        (
            'repeat = "never"',
            'repeat = "nevr"',
            [
                "23: error: request[1].repeat = 'nevr': must be 'safe' or "
                "'never'; did you mean \"never\"?"
            ],
        ),
        (
            'methods = ["POST"]',
            'methods = ["POST", "GET"]',
            [
                "22: error: request[1].methods = ['POST', 'GET']: GET only "
                "reads and may always be repeated; give it a class of its "
                'own with repeat = "safe"'
            ],
        ),
        (
            'methods = ["POST"]',
            'methods = ["PSOT"]',
            [
                "22: error: request[1].methods = 'PSOT': is not an HTTP "
                'method in capitals; did you mean "POST"?'
            ],
        ),
        (
            'path = "/orders"',
            'path = "orders/"',
            [
                "21: error: request[1].path = 'orders/': a class path is "
                '"/" or begins with "/" and does not end with it'
            ],
        ),
        (
            'path_prefix = "/cutting"',
            'path_prefix = "/quotes/cutting"',
            [
                "6: error: service.path_prefix = '/quotes/cutting': overlaps "
                '"/quotes" of service "quoting"'
            ],
        ),
        (
            'name = "cutting"',
            'name = "Cutting"',
            [
                "4: error: service.name = 'Cutting': must be small letters, "
                "digits and hyphens, a letter first"
            ],
        ),
        (
            'name = "cutting"',
            'name = "billing"',
            [
                "4: error: service.name = 'billing': "
                "billing/wisteriasill.toml describes a service of this name "
                "already"
            ],
        ),
        (
            "memory_gib = 8",
            "memory_gib = 80",
            [
                "38: error: job[1].memory_gib = 80.0: fits on no host of the "
                "pool; memory_gib_per_host = 64"
            ],
        ),
        (
            "[[job]]",
            "[[jobs]]",
            ['35: error: jobs: unknown table; did you mean "job"?'],
        ),
        (
            "[pool]",
            "[pool",
            [
                "8: error: TOML: Expected ']' at the end of a table "
                "declaration (at line 8, column 6)"
            ],
        ),
        (
            "maintenance_every_days = 28",
            "spare = true",
            [
                "support/wisteriasill.toml:16: error: pool.spare = True: "
                '"cutting" is the spare pool already; a site has one'
            ],
        ),
    ],
)
def test_bad_service_file(
    folder: pathlib.Path, old: str, new: str, expected: list[str]
) -> None:
    """An operator must find each mistake from its message alone."""
    edit(folder, CUTTING, old, new)
    shown = [
        line if line.startswith("support") else f"{CUTTING}:{line}"
        for line in expected
    ]
    assert problems(folder) == shown


def test_all_problems_are_reported_at_once(folder: pathlib.Path) -> None:
    """One run must report the mistakes of all files."""
    edit(folder, CUTTING, "hosts = 6", "hosts = -1")
    edit(folder, "billing/wisteriasill.toml", 'team = "', 'taem = "')
    edit(folder, "site.toml", 'prefer = "buffer-cost"', 'prefer = "bufer"')
    assert [line.split(": ")[0] for line in problems(folder)] == [
        "billing/wisteriasill.toml:3",
        "billing/wisteriasill.toml:5",
        "cutting/wisteriasill.toml:9",
        "site.toml:5",
    ]


def test_quota_of_unknown_team(folder: pathlib.Path) -> None:
    """A misspelt team must not leave its jobs without a quota unnoticed."""
    edit(folder, "site.toml", 'team = "workroom"', 'team = "workrom"')
    lines = problems(folder)
    assert (
        "site.toml:14: error: quota[2].team = 'workrom': no service belongs "
        'to this team; did you mean "workroom"?'
    ) in lines
    assert sum(": warning: service.team" in line for line in lines) == 2


@pytest.mark.parametrize(
    "content", [b"\xff\xfe", b"x = 1\n" * 20000, None], ids=str
)
def test_unreadable_file_is_a_problem(
    folder: pathlib.Path, content: bytes | None
) -> None:
    """A file that can't be read must not end in a traceback."""
    path = folder / CUTTING
    path.unlink()
    if content is None:
        path.mkdir()
    else:
        path.write_bytes(content)
    assert any(
        line.startswith(f"{CUTTING}:1: error: file: unreadable")
        for line in problems(folder)
    )
