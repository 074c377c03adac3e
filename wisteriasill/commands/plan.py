"""`wisteriasill plan`: what a directory would change and what follows."""

from __future__ import annotations

from returns import result

from wisteriasill.commands import console
from wisteriasill.commands import lock_file
from wisteriasill.commands import site_change
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import consequences
from wisteriasill.contracts import service as services


def run(connection: console.Connection, directory: str, as_json: bool) -> int:
    """Compares a directory with what is in force.

    Args:
        connection: How to reach an entry host.
        directory: Directory with `site.toml` and service files.
        as_json: Whether to print JSON.

    Returns:
        Exit status.
    """
    answer = console.connect(connection).bind(
        lambda client: site_change.compare(client, directory)
    )
    match answer:
        case result.Failure(wrong):
            return console.report(wrong)
        case result.Success(comparison):
            pass
    if as_json:
        console.print_json(
            {
                "generation": comparison.in_force.generation,
                "differences": {
                    name: list(lines)
                    for name, lines in comparison.differences.items()
                },
                "consequences": _consequences(comparison),
                "without_file": comparison.without_file,
            }
        )
    else:
        show(comparison, ())
    # The operator has seen the difference, so a publish may start from here.
    match lock_file.write(comparison.folder, comparison.next_lock):
        case result.Failure(wrong):
            return console.report(wrong)
    return console.DONE


def show(comparison: site_change.Comparison, removed: tuple[str, ...]) -> None:
    """Prints a comparison for people.

    Args:
        comparison: The comparison.
        removed: Services that are removed with it.
    """
    print(f"compared with generation {comparison.in_force.generation}:")
    found = _consequences(comparison)
    for name, lines in comparison.differences.items():
        author = comparison.in_force.authors.get(name)
        by = f" (in force: last changed by {author})" if author else ""
        print(f"  {name}{by}")
        for line in lines:
            print(f"    {line}")
        for line in found.get(name, ()):
            print(f"    => {line}")
    if not comparison.differences:
        print("  no difference")
    for name in comparison.without_file:
        what = "is removed" if name in removed else "stays in force"
        print(f"  {name} has no file here and {what}")


def _consequences(
    comparison: site_change.Comparison,
) -> dict[str, list[str]]:
    site = comparison.contracts[configurations.SITE_DOCUMENT]
    if not isinstance(site, services.SiteContract):
        return {}
    found = {}
    for name in comparison.differences:
        new = comparison.contracts[name]
        if isinstance(new, services.Service):
            old = comparison.in_force.contracts.get(name)
            before = old if isinstance(old, services.Service) else None
            found[name] = consequences.compare(before, new, site.prefer)
    return found
