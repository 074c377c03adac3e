"""Command line: parses arguments and calls `wisteriasill.commands`."""

from __future__ import annotations

import os
import sys
from typing import Annotated

import cappa

from wisteriasill.commands import arguments
from wisteriasill.commands import check
from wisteriasill.commands import command_output
from wisteriasill.commands import console
from wisteriasill.commands import entry as entry_command
from wisteriasill.commands import events
from wisteriasill.commands import explain
from wisteriasill.commands import hosts
from wisteriasill.commands import jobs
from wisteriasill.commands import order_arguments
from wisteriasill.commands import plan
from wisteriasill.commands import publish
from wisteriasill.commands import report
from wisteriasill.commands import status
from wisteriasill.commands import trace
from wisteriasill.commands import waves


@cappa.command(name="wisteriasill")
class Wisteriasill:
    """Manages the capacity and the maintenance of a fleet."""

    drain = order_arguments.drain
    return_host = order_arguments.return_host
    move = order_arguments.move
    pause = order_arguments.pause
    resume = order_arguments.resume
    cancel = order_arguments.cancel

    @cappa.command(description=arguments.example("check examples/malabar"))
    def check(
        self,
        directory: arguments.Directory,
        as_json: arguments.Json = False,
    ) -> int:
        """Reads the files of a site and lists all errors and warnings."""
        return check.run(directory, as_json)

    @cappa.command(
        description=arguments.example("trace 5c0e7a21d94b36f8 node-*.log")
    )
    def trace(
        self,
        request_id: Annotated[str, cappa.Arg(help="Id of the request.")],
        files: Annotated[
            tuple[str, ...],
            cappa.Arg(
                help="Log files of all nodes; - for standard input.",
                num_args=-1,
            ),
        ] = (),
        as_json: arguments.Json = False,
    ) -> int:
        """Shows what happened to one request, from the logs of all nodes."""
        return trace.run(request_id, files, as_json)

    @cappa.command(
        description=arguments.example("report --output day.png node-*.log")
    )
    def report(
        self,
        files: Annotated[
            tuple[str, ...],
            cappa.Arg(
                help="Log files of all nodes; - for standard input.",
                num_args=-1,
            ),
        ] = (),
        output: Annotated[
            str,
            cappa.Arg(
                long=True,
                value_name="FILE",
                show_default=False,
                help="Page to draw; .png, .svg or .pdf.",
            ),
        ] = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Counts and plots jobs, hosts and hand-overs from the logs."""
        return report.run(files, output, as_json)

    @cappa.command(
        description=arguments.example("explain examples/malabar/bench-tilt")
    )
    def explain(
        self,
        file: Annotated[str, cappa.Arg(help="Service file or its directory.")],
        as_json: arguments.Json = False,
    ) -> int:
        """Explains in plain sentences how the fleet runs a service."""
        return explain.run(file, as_json)

    @cappa.command(
        description=arguments.example(
            "plan examples/malabar --entry http://127.0.0.1:8081"
        )
    )
    def plan(
        self,
        directory: arguments.Directory,
        entry: arguments.Entry = "",
        token_file: arguments.TokenFile = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Shows the changes and consequences of a publish."""
        connection = arguments.connection(entry, token_file)
        return plan.run(connection, directory, as_json)

    @cappa.command(
        description=arguments.example(
            "publish examples/malabar --token-file ~/.wisteriasill-token"
        )
    )
    def publish(
        self,
        directory: arguments.Directory,
        base: Annotated[
            int,
            cappa.Arg(
                long=True,
                value_name="GENERATION",
                show_default=False,
                help="Generation that the files are based on.",
            ),
        ] = -1,
        remove: Annotated[
            tuple[str, ...],
            cappa.Arg(
                long=True,
                value_name="SERVICE",
                show_default=False,
                help="Service to remove; may be repeated.",
            ),
        ] = (),
        no_wait: arguments.NoWait = False,
        entry: arguments.Entry = "",
        token_file: arguments.TokenFile = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Publishes the files of a site and waits until they are in force."""
        return publish.run(
            arguments.connection(entry, token_file),
            publish.PublishOptions(
                directory,
                arguments.author(),
                None if base < 0 else base,
                remove,
                not no_wait,
                as_json,
            ),
        )

    @cappa.command(description=arguments.example("status"))
    def status(
        self,
        entry: arguments.Entry = "",
        token_file: arguments.TokenFile = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Shows pools, entry hosts and the generation in force."""
        connection = arguments.connection(entry, token_file)
        return status.run(connection, as_json)

    @cappa.command(description=arguments.example("hosts --pool quoting"))
    def hosts(
        self,
        pool: arguments.Pool = "",
        state: arguments.State = "",
        entry: arguments.Entry = "",
        token_file: arguments.TokenFile = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Lists hosts with pool, state and reason."""
        connection = arguments.connection(entry, token_file)
        return hosts.run(connection, pool, state, as_json)

    @cappa.command(description=arguments.example("waves --state running"))
    def waves(
        self,
        pool: arguments.Pool = "",
        state: arguments.State = "",
        entry: arguments.Entry = "",
        token_file: arguments.TokenFile = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Lists maintenance waves."""
        connection = arguments.connection(entry, token_file)
        return waves.run(connection, pool, state, as_json)

    @cappa.command(description=arguments.example("jobs --state waiting"))
    def jobs(
        self,
        pool: arguments.Pool = "",
        state: arguments.State = "",
        entry: arguments.Entry = "",
        token_file: arguments.TokenFile = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Lists jobs and why they wait."""
        connection = arguments.connection(entry, token_file)
        return jobs.run(connection, pool, state, as_json)

    @cappa.command(description=arguments.example("events --follow"))
    def events(
        self,
        follow: Annotated[
            bool,
            cappa.Arg(
                long=True,
                show_default=False,
                help="Keep printing new events until interrupted.",
            ),
        ] = False,
        entry: arguments.Entry = "",
        token_file: arguments.TokenFile = "",
        as_json: arguments.Json = False,
    ) -> int:
        """Prints recent events of an entry host."""
        connection = arguments.connection(entry, token_file)
        return events.run(connection, follow, as_json)

    @cappa.command(
        description=arguments.example(
            "entry --member-id entry-1 --availability-zone zone-a "
            "--platform-url http://10.0.0.5:9000"
        )
        + " Each setting can also be given as WISTERIASILL_NAME; a flag takes "
        "precedence."
    )
    def entry(
        self,
        member_id: arguments.Setting = "",
        availability_zone: arguments.Setting = "",
        platform_url: arguments.Setting = "",
        region: arguments.Setting = "",
        listen_address: arguments.Setting = "",
        advertised_address: arguments.Setting = "",
        caller_port: arguments.Setting = "",
        operator_port: arguments.Setting = "",
        peer_port: arguments.Setting = "",
        operator_token_file: arguments.Setting = "",
        other: Annotated[
            tuple[str, ...],
            cappa.Arg(
                long="--set",
                value_name="NAME=VALUE",
                show_default=False,
                help="Any other setting; may be repeated.",
            ),
        ] = (),
        log_json: Annotated[
            bool,
            cappa.Arg(
                long=True,
                show_default=False,
                help="Log one JSON object per line.",
            ),
        ] = False,
    ) -> int:
        """Runs an entry host until SIGTERM."""
        flags = {
            "member_id": member_id,
            "availability_zone": availability_zone,
            "platform_url": platform_url,
            "region": region,
            "listen_address": listen_address,
            "advertised_address": advertised_address,
            "caller_port": caller_port,
            "operator_port": operator_port,
            "peer_port": peer_port,
            "operator_token_file": operator_token_file,
        }
        return entry_command.run(flags, other, log_json)

    @cappa.command(description=arguments.example("demo --site mandacaru"))
    def demo(
        self,
        site: Annotated[
            str,
            cappa.Arg(
                long=True,
                choices=["malabar", "mandacaru"],
                help="Which example site to run.",
            ),
        ] = "malabar",
        as_json: arguments.Json = False,
    ) -> int:
        """Runs a whole example site in one process on loopback."""
        from wisteriasill.commands import demo

        return demo.run(site, as_json)


def _known_words() -> list[str]:
    command = cappa.collect(Wisteriasill)
    return [
        name
        for argument in command.arguments
        for name in getattr(argument, "options", {})
    ]


def main(argv: list[str] | None = None) -> None:
    """Runs the command line and exits with its status.

    Args:
        argv: Arguments; defaults to those of the process.
    """
    try:
        status = cappa.invoke(
            Wisteriasill,
            argv=argv,
            output=command_output.build(_known_words),
            color=False,
        )
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe early, as `head` does. Python flushes
        # stdout again at exit, so redirect it to avoid a second error.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        status = console.EXIT_FAILURE
    sys.exit(status)


if __name__ == "__main__":
    main()
