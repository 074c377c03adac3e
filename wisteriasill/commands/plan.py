"""`wisteriasill plan`: shows changes and consequences of a publish."""

from __future__ import annotations

from returns import result

from wisteriasill.commands import console
from wisteriasill.commands import lock_file
from wisteriasill.commands import site_change
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import consequences
from wisteriasill.contracts import service as services


def run(connection: console.Connection, directory: str, as_json: bool) -> int:
    """Compares a directory with the configuration in force.

    Args:
        connection: Address and credentials of an entry host.
        directory: Directory with `site.toml` and service files.
        as_json: Whether to print JSON.

    Returns:
        Exit status.
    """
    answer = console.connect(connection).bind(
        lambda client: site_change.compare(client, directory)
    )
    match answer:
        case result.Failure(failure):
            return console.report(failure)
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
        print_comparison(comparison, ())
    # The operator has seen the differences, so this generation becomes the
    # base of the next publish.
    match lock_file.write(comparison.folder, comparison.next_lock):
        case result.Failure(failure):
            return console.report(failure)
    return console.EXIT_SUCCESS


def print_comparison(
    comparison: site_change.Comparison, removed: tuple[str, ...]
) -> None:
    """Prints a comparison as text.

    Args:
        comparison: The comparison.
        removed: Services that the publish removes.
    """
    print(f"compared with generation {comparison.in_force.generation}:")
    consequences_by_name = _consequences(comparison)
    for name, lines in comparison.differences.items():
        author = comparison.in_force.authors.get(name)
        last_change = f" (in force: last changed by {author})" if author else ""
        print(f"  {name}{last_change}")
        for line in lines:
            print(f"    {line}")
        for line in consequences_by_name.get(name, ()):
            print(f"    => {line}")
    if not comparison.differences:
        print("  no difference")
    for name in comparison.without_file:
        action = "is removed" if name in removed else "stays in force"
        print(f"  {name} has no file here and {action}")


def _consequences(
    comparison: site_change.Comparison,
) -> dict[str, list[str]]:
    site = comparison.contracts[configurations.SITE_DOCUMENT]
    if not isinstance(site, services.SiteContract):
        return {}
    by_name = {}
    for name in comparison.differences:
        new = comparison.contracts[name]
        if isinstance(new, services.Service):
            old = comparison.in_force.contracts.get(name)
            old_service = old if isinstance(old, services.Service) else None
            by_name[name] = consequences.compare(old_service, new, site.prefer)
    return by_name
