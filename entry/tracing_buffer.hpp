// Purpose: bounded buffer of finished spans.
#ifndef FESCUEVANE_ENTRY_TRACING_BUFFER_HPP
#define FESCUEVANE_ENTRY_TRACING_BUFFER_HPP

#include <opentracing/mocktracer/recorder.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace fescuevane::entry
{

// The library's JSON recorder keeps every span until it is closed, so spans
// wait here and each flush uses a recorder of its own.
class span_buffer : public opentracing::mocktracer::Recorder
{
public:
    explicit span_buffer(std::size_t capacity) : capacity_(capacity) {}

    void RecordSpan( // NOLINT(readability-identifier-naming)
        opentracing::mocktracer::SpanData&& span) noexcept override;

    std::string   take_json(); // a list of the spans; empties the buffer
    bool          empty() const { return spans_.empty(); }
    std::uint64_t dropped() const { return dropped_; }

private:
    std::size_t const                              capacity_;
    std::vector<opentracing::mocktracer::SpanData> spans_;
    std::uint64_t                                  dropped_ = 0;
};

} // namespace fescuevane::entry

#endif
