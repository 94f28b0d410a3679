// Purpose: one call of the HTTP API.
#ifndef FESCUEVANE_CTL_HTTP_REQUEST_HPP
#define FESCUEVANE_CTL_HTTP_REQUEST_HPP

#include <string>

namespace fescuevane::ctl
{

enum class key_kind
{
    team,     // X-Team and X-Key of the team
    any,      // key of the operators when given, else as for a team
    operators // X-Key of the operators
};

struct http_request
{
    std::string const method_ = "GET";
    std::string const path_; // with the query
    std::string const body_; // JSON; empty: none
    key_kind const    key_ = key_kind::team;
    bool const        repeatable_ = true; // may be sent to another server

    friend bool operator==(http_request const&, http_request const&) = default;
};

} // namespace fescuevane::ctl

#endif
