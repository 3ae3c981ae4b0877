"""Command line of celeryjunction."""

from __future__ import annotations

from typer import Typer

app = Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def root() -> None:
    """Run a database proxy with session consistency."""


def main() -> None:
    """Run the command line."""
    app()
