"""Span exporter that writes each ended span as a log event."""

import logging
from collections.abc import Sequence

from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import SpanExporter, SpanExportResult
from opentelemetry.trace import format_span_id, format_trace_id

from .logs import log_event

NS_PER_US = 1000

logger = logging.getLogger(__name__)


class SpanLogExporter(SpanExporter):
    """Logs one ``span.ended`` event for each span."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Log ``spans``."""
        for ended in spans:
            _log_span(ended)
        return SpanExportResult.SUCCESS


def _log_span(ended: ReadableSpan) -> None:
    span_context = ended.get_span_context()
    if span_context is None:
        return
    duration_ns = (ended.end_time or 0) - (ended.start_time or 0)
    parent = format_span_id(ended.parent.span_id) if ended.parent else None
    log_event(
        logger,
        'span.ended',
        span_name=ended.name,
        trace=format_trace_id(span_context.trace_id),
        span=format_span_id(span_context.span_id),
        parent=parent,
        duration_us=duration_ns // NS_PER_US,
    )
