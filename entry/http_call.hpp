// Purpose: one HTTP call, decoded as far as all handlers need it.
#ifndef FESCUEVANE_ENTRY_HTTP_CALL_HPP
#define FESCUEVANE_ENTRY_HTTP_CALL_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace fescuevane::entry
{

struct http_call
{
    std::string const                 method_;
    std::string const                 path_;     // encoded
    std::string const                 argument_; // of "{}" in the path, decoded
    std::optional<std::int64_t> const wait_micros_; // query wait_ms
    team_id const                     team_;        // empty: no header
    std::string const                 key_;         // empty: no header
    std::string const                 traceparent_; // empty: no header
    std::string const                 body_;

    friend bool operator==(http_call const&, http_call const&) = default;
};

} // namespace fescuevane::entry

#endif
