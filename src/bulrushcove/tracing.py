"""Traces: a span per hop, with its context sent as W3C traceparent."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from opentelemetry import context, trace
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from .settings import TracingSettings

TRACEPARENT = 'traceparent'
TRACER_NAME = 'bulrushcove'
# Version field of a W3C traceparent.
TRACEPARENT_VERSION = '00'


class _Export:
    """Whether this process exports spans."""

    is_active = False


_export = _Export()
_propagator = TraceContextTextMapPropagator()
# A proxy: it uses the provider that is set later.
_tracer = trace.get_tracer(TRACER_NAME)


def setup_tracing(
    settings: TracingSettings,
    service: str,
    *,
    starts_traces: bool,
) -> None:
    """Install the exporter chosen in the settings.

    A process that ``starts_traces`` creates trace ids even without an
    exporter, so that its responses can name their trace. Other processes pass
    on the ids that they receive.
    """
    if settings.exporter == 'none' and not starts_traces:
        return
    # Imported here because the SDK takes resident memory, which processes
    # without traces save.
    from opentelemetry.sdk.resources import Resource
    from opentelemetry.sdk.trace import TracerProvider

    resource = Resource({'service.name': service})
    provider = TracerProvider(resource=resource)
    _export.is_active = settings.exporter != 'none'
    if _export.is_active:
        provider.add_span_processor(_make_processor(settings))
    trace.set_tracer_provider(provider)


def _make_processor(settings: TracingSettings) -> Any:
    from opentelemetry.sdk.trace.export import BatchSpanProcessor

    if settings.exporter == 'otlp':
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        return BatchSpanProcessor(OTLPSpanExporter(settings.otlp_url))
    from opentelemetry.sdk.trace.export import SimpleSpanProcessor

    from .span_log import SpanLogExporter

    return SimpleSpanProcessor(SpanLogExporter())


@contextmanager
def span(
    name: str,
    *,
    traceparent: str = '',
    **attributes: Any,
) -> Iterator[trace.Span]:
    """Record a span for one hop.

    Its parent is ``traceparent`` (W3C) if that is given and well-formed, else
    the current span.
    """
    parent = None
    if traceparent:
        parent = _propagator.extract({TRACEPARENT: traceparent})
    current = _tracer.start_span(name, context=parent, attributes=attributes)
    token = context.attach(trace.set_span_in_context(current))
    try:
        yield current
    except Exception as exc:
        current.record_exception(exc)
        current.set_status(trace.StatusCode.ERROR)
        raise
    finally:
        context.detach(token)
        current.end()


@contextmanager
def child_span(name: str, **attributes: Any) -> Iterator[str]:
    """Record a child span if spans are exported; yields its traceparent.

    Without an exporter the span would be lost, so none is created: the
    traceparent is empty and the enclosing span stays the current one.
    """
    if not _export.is_active:
        yield ''
        return
    with span(name, **attributes):
        yield current_traceparent()


def current_traceparent() -> str:
    """Return the W3C traceparent of the current span; empty: none."""
    current = trace.get_current_span().get_span_context()
    if not current.is_valid:
        return ''
    trace_id = trace.format_trace_id(current.trace_id)
    span_id = trace.format_span_id(current.span_id)
    return (
        f'{TRACEPARENT_VERSION}-{trace_id}-{span_id}-{current.trace_flags:02x}'
    )


def current_trace_id() -> str:
    """Return the id of the current trace as 32 hexadecimal digits."""
    span_context = trace.get_current_span().get_span_context()
    return trace.format_trace_id(span_context.trace_id)
