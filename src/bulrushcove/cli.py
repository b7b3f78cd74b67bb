"""Entry point of the operators' command line, ``bulrushcove``."""

import difflib
import sys
from collections.abc import Sequence

from absl import flags

from . import cli_contract, cli_domain, cli_job, cli_settings
from .cli_errors import CommandError, CommandUsageError, ExitStatus
from .cli_options import define_flags, read_options
from .cli_verbs import Command, Verb, run_verb

VERBS = (
    *cli_contract.VERBS,
    *cli_domain.VERBS,
    *cli_job.VERBS,
    *cli_settings.VERBS,
)
USAGE_HELP = (
    'bulrushcove: contracts and failure domains of a cluster.\n'
    '\n'
    'Usage: bulrushcove VERB [ARGUMENT] [--flag=VALUE ...]\n'
)
EXIT_STATUS_HELP = (
    'Exit status: 0 done, 1 refused, 2 wrong usage, 3 outcome unknown or not '
    'yet in force on every VM.'
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command; return its exit status."""
    given = sys.argv[1:] if arguments is None else list(arguments)
    try:
        return int(_run(given))
    except CommandError as exc:
        for line in (str(exc), *(f'  {detail}' for detail in exc.details)):
            print(line, file=sys.stderr)
        return int(exc.status)
    except KeyboardInterrupt:
        print('interrupted: the outcome is unknown', file=sys.stderr)
        return int(ExitStatus.UNKNOWN)


def _run(given: list[str]) -> ExitStatus:
    values = define_flags()
    try:
        words = values(['bulrushcove', *given])[1:]
    except flags.Error as exc:
        raise CommandUsageError(str(exc)) from exc
    if values.help:
        print(_format_help(words, values))
        return ExitStatus.DONE
    verb, rest = find_verb(words)
    if len(rest) != len(verb.arguments):
        raise CommandUsageError(
            f'{verb.usage}: found {len(rest)} arguments, '
            f'allowed: {len(verb.arguments)}',
            (f'example: {verb.example}',),
        )
    return run_verb(verb, Command(read_options(values), rest))


def find_verb(words: Sequence[str]) -> tuple[Verb, tuple[str, ...]]:
    """Return the verb that ``words`` start with, and its arguments.

    Raises ``CommandUsageError``, which suggests the closest verb.
    """
    found = _match_verb(words)
    if found is not None:
        return found, tuple(words[len(_full_name(found).split()) :])
    if not words:
        lines = tuple(verb.usage for verb in VERBS)
        raise CommandUsageError('missing verb, one of:', lines)
    names = {_full_name(verb): verb for verb in VERBS}
    given = ' '.join(words[:2])
    closest = difflib.get_close_matches(given, names, n=1)
    if closest:
        text = f'unknown verb {given!r}; did you mean {closest[0]!r}?'
        raise CommandUsageError(text)
    lines = tuple(verb.usage for verb in VERBS if verb.group == words[0])
    raise CommandUsageError(
        f'unknown verb {given!r}, one of:',
        lines or tuple(verb.usage for verb in VERBS),
    )


def _match_verb(words: Sequence[str]) -> Verb | None:
    for verb in VERBS:
        name = _full_name(verb).split()
        if list(words[: len(name)]) == name:
            return verb
    return None


def _full_name(verb: Verb) -> str:
    return f'{verb.group} {verb.name}'.strip()


def _format_help(words: Sequence[str], values: flags.FlagValues) -> str:
    verb = _match_verb(words)
    parts = [USAGE_HELP]
    if verb is None:
        width = max(len(known.usage) for known in VERBS)
        parts.extend(
            f'  {known.usage.ljust(width)}  {known.summary}' for known in VERBS
        )
    else:
        parts.append(f'bulrushcove {verb.usage}\n  {verb.summary}')
        parts.append(f'\nExample:\n  {verb.example}')
    parts.append('\nFlags:')
    parts.extend(_format_flags_help(values))
    parts.append(f'\n{EXIT_STATUS_HELP}')
    return '\n'.join(parts)


def _format_flags_help(values: flags.FlagValues) -> list[str]:
    return [
        f'  --{name}: {values[name].help}'
        for name in sorted(values)
        if len(name) > 1
    ]


if __name__ == '__main__':
    sys.exit(main())
