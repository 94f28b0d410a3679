// Purpose: the end of one HTTP exchange.
#ifndef FESCUEVANE_TESTS_PROVE_HTTP_REPLY_HPP
#define FESCUEVANE_TESTS_PROVE_HTTP_REPLY_HPP

#include "tests/prove/call_event.hpp"

#include <nlohmann/json.hpp>

#include <string>

namespace fescuevane::prove
{

struct http_reply
{
    call_end const       end_ = call_end::replied;
    unsigned const       status_ = 0;
    nlohmann::json const json_; // null: none or malformed
};

} // namespace fescuevane::prove

#endif
