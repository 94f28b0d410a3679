// Purpose: traces of an entry process.
//
// Index of sections
//   1. Buffer
//   2. Lines
//   3. Tracer
#include "entry/tracing.hpp"

#include "entry/front_error.hpp"
#include "entry/span_finished.hpp"
#include "entry/tracing_buffer.hpp"
#include "entry/tracing_context.hpp"

#include <glib.h>
#include <nlohmann/json.hpp>
#include <opentracing/mocktracer/json_recorder.h>
#include <opentracing/mocktracer/tracer.h>
#include <chrono>
#include <ostream>
#include <sstream>

namespace fescuevane::entry
{

namespace mock = opentracing::mocktracer;

// 1. Buffer

void span_buffer::RecordSpan(mock::SpanData&& span) noexcept
{
    if (spans_.size() < capacity_)
    {
        spans_.push_back(std::move(span));
    }
    else
    {
        ++dropped_;
    }
}

std::string span_buffer::take_json()
{
    // The recorder owns its stream; the text outlives it in `text`.
    std::stringbuf     text;
    mock::JsonRecorder recorder(std::make_unique<std::ostream>(&text));
    for (mock::SpanData& span : spans_)
    {
        recorder.RecordSpan(std::move(span));
    }
    spans_.clear();
    recorder.Close();
    return text.str();
}

// 2. Lines

namespace
{

constexpr char const* trace_tag = "w3c.trace_id";
constexpr char const* span_tag = "w3c.span_id";
constexpr char const* parent_tag = "w3c.parent_id";
constexpr char const* subject_tag = "subject";

constexpr unsigned flush_seconds = 1;

std::string write_line(nlohmann::json const& span, std::string const& host)
{
    nlohmann::json const& tags = span.at("tags");
    nlohmann::json const  line = {{"trace_id", tags.at(trace_tag)},
                                  {"span_id", tags.at(span_tag)},
                                  {"parent_id", tags.at(parent_tag)},
                                  {"name", span.at("operation_name")},
                                  {"host", host},
                                  {"subject", tags.value(subject_tag, "")},
                                  {"start_us", span.at("start_timestamp")},
                                  {"duration_us", span.at("duration")}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
           "\n";
}

} // namespace

// 3. Tracer

span_tracer::span_tracer(std::string const& file, std::string host,
                         std::size_t buffer_spans)
    : host_(std::move(host))
{
    if (file.empty())
    {
        return;
    }
    output_.open(file, std::ios::app);
    if (!output_)
    {
        throw front_error(file + ": can't be opened for traces");
    }
    auto buffer = std::make_unique<span_buffer>(buffer_spans);
    buffer_ = buffer.get();
    mock::MockTracerOptions options;
    options.recorder = std::move(buffer);
    tracer_ = std::make_shared<mock::MockTracer>(std::move(options));
    timeout_ = g_timeout_add_seconds(
        flush_seconds,
        [](void* tracer) -> gboolean
        {
            static_cast<span_tracer*>(tracer)->flush();
            return G_SOURCE_CONTINUE;
        },
        this);
}

span_tracer::~span_tracer()
{
    if (timeout_ != 0)
    {
        g_source_remove(timeout_);
    }
    flush();
}

trace_span span_tracer::start_span(std::string const& name,
                                   std::string const& traceparent)
{
    auto const          parent = parse_traceparent(traceparent);
    trace_context const child = make_child(parent);
    auto                span = tracer_ ? tracer_->StartSpan(name) : nullptr;
    if (span)
    {
        span->SetTag(trace_tag, child.trace_id_);
        span->SetTag(span_tag, child.span_id_);
        span->SetTag(parent_tag, parent ? parent->span_id_ : std::string());
    }
    return {format_traceparent(child), std::move(span)};
}

void span_tracer::record_span(span_finished const& span)
{
    auto const own = parse_traceparent(span.traceparent_);
    if (!tracer_ || !own)
    {
        return;
    }
    auto const parent = parse_traceparent(span.parent_);
    // Instants are those of the steady clock.
    using steady = std::chrono::steady_clock;
    steady::time_point const start{
        std::chrono::microseconds(span.start_.micros())};
    opentracing::StartSpanOptions options;
    options.start_steady_timestamp = start;
    options.start_system_timestamp =
        std::chrono::system_clock::now() -
        std::chrono::duration_cast<std::chrono::microseconds>(steady::now() -
                                                              start);
    auto const recorded = tracer_->StartSpanWithOptions(span.name_, options);
    recorded->SetTag(trace_tag, own->trace_id_);
    recorded->SetTag(span_tag, own->span_id_);
    recorded->SetTag(parent_tag, parent ? parent->span_id_ : std::string());
    recorded->SetTag(subject_tag, span.subject_);
    opentracing::FinishSpanOptions finish;
    finish.finish_steady_timestamp =
        steady::time_point(std::chrono::microseconds(span.end_.micros()));
    recorded->FinishWithOptions(finish);
}

void span_tracer::flush()
{
    if (buffer_ == nullptr || buffer_->empty())
    {
        return;
    }
    for (auto const& span : nlohmann::json::parse(buffer_->take_json()))
    {
        output_ << write_line(span, host_);
    }
    output_.flush();
}

std::uint64_t span_tracer::dropped() const
{
    return buffer_ == nullptr ? 0 : buffer_->dropped();
}

} // namespace fescuevane::entry
