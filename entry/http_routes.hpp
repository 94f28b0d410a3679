// Purpose: table of the routes of the HTTP API.
#ifndef FESCUEVANE_ENTRY_HTTP_ROUTES_HPP
#define FESCUEVANE_ENTRY_HTTP_ROUTES_HPP

#include "entry/http_front.hpp"

#include <span>
#include <string>
#include <string_view>

namespace fescuevane::entry
{

// "{}" in a path stands for one segment, the argument of the call.
struct route
{
    std::string_view const    method_;
    std::string_view const    path_;
    http_front::handler const handler_;
};

struct route_match
{
    route const* const route_ = nullptr; // null: no such path or method
    std::string const  argument_;        // encoded
    std::string const  allow_; // methods of the path, when only they differ
};

struct http_routes
{
    static std::span<route const> list();
    static route_match find(std::string_view method, std::string_view path);
};

} // namespace fescuevane::entry

#endif
