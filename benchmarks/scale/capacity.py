"""`python -m benchmarks.scale capacity`: the table of a size, and the page's."""

from dataclasses import fields

import click

from benchmarks.scale import page, tables
from benchmarks.scale.reading import Slopes
from benchmarks.scale.size import Size


def parts(size: Size, slopes: Slopes) -> dict[str, str]:
    """The made parts of the page."""
    found = tables.worked(size, slopes)
    return {
        "ranking": tables.ranking(found),
        "rows": tables.roles(found),
        "slopes": tables.slopes_used(found, slopes),
    }


@click.command()
@click.option(
    "--page", "to_page", is_flag=True, help="Write the parts into docs/CAPACITY.md, for the size designed for."
)
def capacity(to_page: bool, **figures: float) -> None:
    """Work out all rows at a size from the slopes kept; nothing is measured."""
    size = Size(**figures)
    try:
        size.check()
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    made = parts(size, Slopes())
    if not to_page:
        click.echo("\n\n".join(made.values()))
        return
    if size != Size():
        raise click.ClickException("the page is for the size designed for: give no figures with --page")
    text = page.PAGE.read_text()
    for name, part in made.items():
        text = page.put(text, name, part)
    page.PAGE.write_text(text)
    click.echo(f"{page.PAGE} written")


for _one in fields(Size):
    _name = f"--{_one.name.replace('_', '-')}"
    capacity.params.append(click.Option([_name], type=float, default=_one.default, show_default=True))
