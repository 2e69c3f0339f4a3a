"""OpenTelemetry spans, connected across processes by W3C trace context."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Final, final

from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import Span, Tracer, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from _pistachiopond.schema.settings import Observability

_PROPAGATOR: Final = TraceContextTextMapPropagator()


@final
class FileExporter(SpanExporter):
    """Writes each finished span as one JSON line."""

    def __init__(self, path: str) -> None:
        self._file = Path(path).open("a", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Append the spans."""
        for span in spans:
            self._file.write(json.dumps(_span_fields(span)) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Close the file."""
        self._file.close()


def make_provider(program: str, settings: Observability) -> TracerProvider:
    """Return a provider with the exporters that the settings name.

    Parameters
    ----------
    program : str
        The name of the process, such as ``pond-entry``.
    settings : Observability
        The endpoint and file to export to. Without either, spans are not exported and
        only propagate the trace context.
    """
    provider = TracerProvider(
        resource=Resource({"service.name": program}), shutdown_on_exit=False
    )
    if settings.trace_endpoint is not None:
        # Imported only where it is used, to save memory in other processes.
        from opentelemetry.exporter.otlp.proto.http.trace_exporter import (
            OTLPSpanExporter,
        )

        exporter = OTLPSpanExporter(endpoint=settings.trace_endpoint)
        provider.add_span_processor(BatchSpanProcessor(exporter))
    if settings.trace_file_path is not None:
        provider.add_span_processor(
            SimpleSpanProcessor(FileExporter(settings.trace_file_path))
        )
    return provider


def context_from(headers: Mapping[str, str]) -> Context:
    """Return the caller's trace context, or an empty one."""
    return _PROPAGATOR.extract(headers, context=Context())


def headers_for(span: Span) -> dict[str, str]:
    """Return the headers that carry a span's context to the next hop."""
    headers: dict[str, str] = {}
    _PROPAGATOR.inject(headers, context=set_span_in_context(span, Context()))
    return headers


def start_span(
    tracer: Tracer, name: str, parent: Span | None, attributes: Mapping[str, str | int]
) -> Span:
    """Start a span below `parent`, or a root span; the caller must end it."""
    context = Context() if parent is None else set_span_in_context(parent, Context())
    return tracer.start_span(name, context=context, attributes=attributes)


def _span_fields(span: ReadableSpan) -> dict[str, object]:
    return {
        "name": span.name,
        "trace_id": f"{span.context.trace_id:032x}",
        "span_id": f"{span.context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "status": span.status.status_code.name,
        "attributes": dict(span.attributes or {}),
        "service": span.resource.attributes.get("service.name"),
    }
