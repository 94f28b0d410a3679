// Purpose: why a connection of a client is refused or closed.
#ifndef FESCUEVANE_IO_HTTP_REFUSAL_HPP
#define FESCUEVANE_IO_HTTP_REFUSAL_HPP

#include <array>
#include <cstddef>
#include <cstdint>

namespace fescuevane::io
{

enum class http_refusal : std::uint8_t
{
    headers_too_large, // 431
    body_too_large,    // 413
    no_memory,         // 504: bodies in flight take all that they may
    too_slow,          // 504
    no_place           // closed: places are for newer connections
};

constexpr std::size_t http_refusal_count = 5;

// Values of the label `reason`, in the order of `http_refusal`.
constexpr std::array<char const*, http_refusal_count> http_refusal_names = {
    "headers_too_large", "body_too_large", "no_memory", "too_slow", "no_place"};

constexpr char const* name_of(http_refusal reason)
{
    return http_refusal_names.at(static_cast<std::size_t>(reason));
}

} // namespace fescuevane::io

#endif
