// Purpose: bounds of message fields. They exclude values that only a faulty
// sender produces and keep sums of many fields within 64 bits.
#ifndef FESCUEVANE_WIRE_BOUNDS_HPP
#define FESCUEVANE_WIRE_BOUNDS_HPP

#include <cstddef>
#include <cstdint>

namespace fescuevane::wire
{

constexpr int           max_message_bytes = 64 * 1024 * 1024; // gRPC limit
constexpr std::size_t   max_body_bytes = 32 * 1024 * 1024; // payload or answer
constexpr std::size_t   max_id_bytes = 256;
constexpr std::size_t   max_text_bytes = 4096; // reasons and trace contexts
constexpr std::size_t   max_key_bytes = 2048;  // keys of platform rows
constexpr std::int64_t  max_amount = std::int64_t{1} << 40; // of one resource
constexpr std::uint32_t max_task_count = 100'000;           // of one job
// Ten years. Remaining times beyond it are sent as this bound.
constexpr std::int64_t max_span_micros = 315'360'000'000'000;

} // namespace fescuevane::wire

#endif
