// Purpose: answer to one HTTP call.
#ifndef FESCUEVANE_ENTRY_HTTP_REPLY_HPP
#define FESCUEVANE_ENTRY_HTTP_REPLY_HPP

#include <cstdint>
#include <string>

namespace fescuevane::entry
{

struct http_reply
{
    unsigned const     status_ = 200;
    std::string const  body_;
    std::int64_t const retry_after_s_ = 0; // header, 0: none
    std::string const  content_type_ = "application/json";
    std::string const  allow_; // header of status 405

    friend bool operator==(http_reply const&, http_reply const&) = default;
};

} // namespace fescuevane::entry

#endif
