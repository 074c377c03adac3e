"""`wisteriasill publish`: publishes the files of a site."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
from typing import Any, NamedTuple

from returns import result

from wisteriasill import documents
from wisteriasill import errors
from wisteriasill.commands import console
from wisteriasill.commands import lock_file
from wisteriasill.commands import plan
from wisteriasill.commands import site_change
from wisteriasill.contracts import configuration as configurations
from wisteriasill.contracts import publication
from wisteriasill.contracts import service_checks
from wisteriasill.links import operator_client

POLL_SECONDS = 0.25
# The target is 6 s; the rest is a margin for a slow store.
IN_FORCE_SECONDS = 30.0


class PublishOptions(NamedTuple):
    """Options of a publish.

    Attributes:
        directory: Directory with `site.toml` and service files.
        author: Operator who publishes.
        base: Generation that the files are based on; None to read it from
            the lock file.
        removed: Services to remove.
        wait: Whether to wait until the change is in force everywhere.
        as_json: Whether to print JSON.
    """

    directory: str
    author: str
    base: int | None = None
    removed: tuple[str, ...] = ()
    wait: bool = True
    as_json: bool = False


class Published(NamedTuple):
    """An accepted publish.

    Attributes:
        comparison: Comparison made before the publish.
        manifest: The manifest in force.
    """

    comparison: site_change.Comparison
    manifest: configurations.Manifest


Outcome = result.Result[Published, errors.Failure]


def run(connection: console.Connection, options: PublishOptions) -> int:
    """Publishes a directory.

    Args:
        connection: Address and credentials of an entry host.
        options: Options of the publish.

    Returns:
        Exit status: 1 if the publish is refused or not in force in time.
    """
    match console.connect(connection):
        case result.Failure(failure):
            return console.report(failure)
        case result.Success(client):
            pass
    match _publish(client, options):
        case result.Failure(failure):
            return console.report(failure)
        case result.Success(published):
            return _wait_and_report(client, published, options)
    raise AssertionError(options)


def _publish(
    client: operator_client.OperatorClient, options: PublishOptions
) -> Outcome:
    return site_change.compare(client, options.directory).bind(
        lambda comparison: site_change.choose_base(
            comparison, options.base
        ).bind(lambda base: _submit(client, comparison, base, options))
    )


def _submit(
    client: operator_client.OperatorClient,
    comparison: site_change.Comparison,
    base: lock_file.Lock,
    options: PublishOptions,
) -> Outcome:
    unknown = sorted(set(options.removed) - set(comparison.in_force.contracts))
    if unknown:
        known = comparison.in_force.contracts
        return console.invalid_setting(
            f'--remove "{unknown[0]}": no such service is in force'
            + service_checks.suggest(unknown[0], known)
        )
    if not options.as_json:
        plan.print_comparison(comparison, options.removed)
    change = publication.Change(
        documents=site_change.to_documents(
            {
                name: contract
                for name, contract in comparison.contracts.items()
                if name not in options.removed
            }
        ),
        author=options.author,
        base_generation=base.generation,
        base_names=base.names,
        removed=options.removed,
    )
    answer = client.post("/v1/configuration", documents.encode(change))
    match answer:
        # Publishing the same documents again is idempotent.
        case result.Failure(errors.Failure(executed=errors.Executed.UNKNOWN)):
            answer = client.post("/v1/configuration", documents.encode(change))
    return answer.bind(
        lambda document: documents.decode(configurations.Manifest, document)
    ).bind(lambda manifest: _write_lock(comparison, manifest))


def _write_lock(
    comparison: site_change.Comparison, manifest: configurations.Manifest
) -> Outcome:
    lock = comparison.next_lock._replace(
        generation=manifest.generation, names=tuple(sorted(manifest.entries))
    )
    return lock_file.write(comparison.folder, lock).map(
        lambda _: Published(comparison, manifest)
    )


def _wait_and_report(
    client: operator_client.OperatorClient,
    published: Published,
    options: PublishOptions,
) -> int:
    generation = published.manifest.generation
    changed = generation > published.comparison.in_force.generation
    waiting: list[str] = []
    without_hosts: list[str] = []
    seconds = 0.0
    if options.wait:
        started_at = time.monotonic()
        waiting = _wait_until_empty(
            lambda: _members_behind(client.get("/v1/status"), generation),
            options,
        )
        seconds = time.monotonic() - started_at
        if not waiting:
            without_hosts = _wait_until_empty(
                lambda: _pools_without_hosts(client.get("/v1/status")), options
            )
    if options.as_json:
        console.print_json(
            {
                "generation": generation,
                "changed": changed,
                "waited": options.wait,
                "waiting_for": waiting,
                "without_hosts": without_hosts,
                "seconds": round(seconds, 3),
            }
        )
    elif options.wait and not waiting:
        print(f"generation {generation} is in force everywhere")
        if without_hosts:
            console.print_error(
                f"no usable {', no '.join(without_hosts)} yet; requests for "
                "these pools are refused until a host joins"
            )
    else:
        print(f"generation {generation} is accepted")
    if waiting and not options.as_json:
        console.print_error(
            f"generation {generation} is accepted but after {seconds:.0f} s "
            f"not confirmed by {', '.join(waiting)}"
        )
    return console.EXIT_FAILURE if waiting else console.EXIT_SUCCESS


def _wait_until_empty(
    list_missing: Callable[[], list[str]], options: PublishOptions
) -> list[str]:
    """Waits for a list to become empty; returns the rest at the timeout."""
    pause = threading.Event()
    wait_until = time.monotonic() + IN_FORCE_SECONDS
    last_text = ""
    while True:
        waiting = list_missing()
        if not waiting or time.monotonic() >= wait_until:
            return waiting
        text = f"waiting for {', '.join(waiting)}"
        if text != last_text and not options.as_json:
            print(text, flush=True)
            last_text = text
        pause.wait(POLL_SECONDS)


def _members_behind(
    answer: operator_client.Document, generation: int
) -> list[str]:
    match answer:
        case result.Success(document):
            return _find_members_behind(document, generation)
    return ["the entry host"]


def _find_members_behind(
    document: dict[str, Any], generation: int
) -> list[str]:
    if document["generation"] < generation:
        return [str(document["member_id"])]
    return [
        str(member["member_id"])
        for member in document["members"]
        if not member["leaving"] and (member["generation"] or 0) < generation
    ]


def _pools_without_hosts(answer: operator_client.Document) -> list[str]:
    """Lists pools that promise hosts but have no usable one yet."""
    match answer:
        case result.Success(document):
            return [
                f"hosts of {pool['pool']}"
                for pool in document["pools"]
                if pool["hosts_promised"] and not pool["hosts_usable"]
            ]
    return ["the entry host"]
