"""`wisteriasill publish`: puts a directory in force."""

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
# The target is 6 s; the rest covers a store that is slow to answer.
IN_FORCE_SECONDS = 30.0


class PublishOptions(NamedTuple):
    """Options of a publish.

    Attributes:
        directory: Directory with `site.toml` and service files.
        author: Operator who publishes.
        base: Generation that the files were started from; None to take it
            from the lock file.
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
    """A publish that was accepted.

    Attributes:
        comparison: What was compared before.
        manifest: The manifest in force.
    """

    comparison: site_change.Comparison
    manifest: configurations.Manifest


Outcome = result.Result[Published, errors.Failure]


def run(connection: console.Connection, options: PublishOptions) -> int:
    """Publishes a directory.

    Args:
        connection: How to reach an entry host.
        options: Options of the publish.

    Returns:
        Exit status: 1 if it was refused or is not in force in time.
    """
    match console.connect(connection):
        case result.Failure(wrong):
            return console.report(wrong)
        case result.Success(client):
            pass
    match _publish(client, options):
        case result.Failure(wrong):
            return console.report(wrong)
        case result.Success(published):
            return _follow(client, published, options)
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
            + service_checks.nearest(unknown[0], known)
        )
    if not options.as_json:
        plan.show(comparison, options.removed)
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
        # An unchanged publish changes nothing, so a repeat is harmless.
        case result.Failure(errors.Failure(executed=errors.Executed.UNKNOWN)):
            answer = client.post("/v1/configuration", documents.encode(change))
    return answer.bind(
        lambda plain: documents.decode(configurations.Manifest, plain)
    ).bind(lambda manifest: _keep(comparison, manifest))


def _keep(
    comparison: site_change.Comparison, manifest: configurations.Manifest
) -> Outcome:
    lock = comparison.next_lock._replace(
        generation=manifest.generation, names=tuple(sorted(manifest.entries))
    )
    return lock_file.write(comparison.folder, lock).map(
        lambda _: Published(comparison, manifest)
    )


def _follow(
    client: operator_client.OperatorClient,
    published: Published,
    options: PublishOptions,
) -> int:
    generation = published.manifest.generation
    changed = generation > published.comparison.in_force.generation
    waiting: list[str] = []
    unserved: list[str] = []
    seconds = 0.0
    if options.wait:
        started_at = time.monotonic()
        waiting = _wait(
            lambda: _lagging(client.get("/v1/status"), generation), options
        )
        seconds = time.monotonic() - started_at
        if not waiting:
            unserved = _wait(
                lambda: _unserved(client.get("/v1/status")), options
            )
    if options.as_json:
        console.print_json(
            {
                "generation": generation,
                "changed": changed,
                "waited": options.wait,
                "waiting_for": waiting,
                "without_hosts": unserved,
                "seconds": round(seconds, 3),
            }
        )
    elif options.wait and not waiting:
        print(f"generation {generation} is in force everywhere")
        if unserved:
            console.say_error(
                f"nothing serves yet: no {', no '.join(unserved)}; requests "
                "for them are refused until one joins"
            )
    else:
        print(f"generation {generation} is accepted")
    if waiting and not options.as_json:
        console.say_error(
            f"generation {generation} is accepted but after {seconds:.0f} s "
            f"not confirmed by {', '.join(waiting)}"
        )
    return console.FAILED if waiting else console.DONE


def _wait(
    missing: Callable[[], list[str]], options: PublishOptions
) -> list[str]:
    """Waits until nothing is missing; returns what is, after a while."""
    never = threading.Event()
    give_up_at = time.monotonic() + IN_FORCE_SECONDS
    shown = ""
    while True:
        waiting = missing()
        if not waiting or time.monotonic() >= give_up_at:
            return waiting
        text = f"waiting for {', '.join(waiting)}"
        if text != shown and not options.as_json:
            print(text, flush=True)
            shown = text
        never.wait(POLL_SECONDS)


def _lagging(answer: operator_client.Document, generation: int) -> list[str]:
    match answer:
        case result.Success(document):
            return _behind(document, generation)
    return ["the entry host"]


def _behind(document: dict[str, Any], generation: int) -> list[str]:
    if document["generation"] < generation:
        return [str(document["member_id"])]
    return [
        str(member["member_id"])
        for member in document["members"]
        if not member["leaving"] and (member["generation"] or 0) < generation
    ]


def _unserved(answer: operator_client.Document) -> list[str]:
    """Returns pools that hosts are promised to and none serves yet."""
    match answer:
        case result.Success(document):
            return [
                f"hosts of {pool['pool']}"
                for pool in document["pools"]
                if pool["hosts_promised"] and not pool["hosts_usable"]
            ]
    return ["the entry host"]
