"""Span exporter that logs each finished span."""

import logging
from collections.abc import Sequence

from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult
from opentelemetry.trace import format_span_id, format_trace_id

from .logs import log_event

NS_PER_US = 1000

logger = logging.getLogger(__name__)


class SpanLogExporter(SpanExporter):
    """Logs a ``span.ended`` event for each span."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log ``spans``; always succeeds."""
        for finished_span in spans:
            _log_span(finished_span)
        return SpanExportResult.SUCCESS


def _log_span(finished_span: ReadableSpan) -> None:
    span_context = finished_span.get_span_context()
    if span_context is None:
        return
    duration_ns = (finished_span.end_time or 0) - (
        finished_span.start_time or 0
    )
    parent = (
        format_span_id(finished_span.parent.span_id)
        if finished_span.parent
        else None
    )
    log_event(
        logger,
        'span.ended',
        span_name=finished_span.name,
        trace=format_trace_id(span_context.trace_id),
        span=format_span_id(span_context.span_id),
        parent=parent,
        duration_us=duration_ns // NS_PER_US,
    )
