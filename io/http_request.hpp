// Purpose: a request of the HTTP client.
#ifndef FESCUEVANE_IO_HTTP_REQUEST_HPP
#define FESCUEVANE_IO_HTTP_REQUEST_HPP

#include "core/instant.hpp"

#include <string>
#include <utility>
#include <vector>

namespace fescuevane::io
{

struct http_request
{
    std::string const                                      method_ = "GET";
    std::string const                                      address_; // IP:port
    std::string const                                      path_; // with query
    std::vector<std::pair<std::string, std::string>> const headers_;
    std::string const                                      body_;
    std::string const content_type_ = "application/json"; // of a body
    instant const     deadline_;

    friend bool operator==(http_request const&, http_request const&) = default;
};

} // namespace fescuevane::io

#endif
