// Purpose: one call that a stand-in received.
#ifndef FESCUEVANE_TESTS_SOAK_HTTP_CALL_HPP
#define FESCUEVANE_TESTS_SOAK_HTTP_CALL_HPP

#include <functional>
#include <map>
#include <string>

namespace fescuevane::soak
{

struct http_call
{
    std::string const                        path_;
    std::map<std::string, std::string> const query_;
    std::string const                        body_;
    std::string const                        caller_; // its IP
    std::string const instance_; // life of a target that the call is meant for

    // Exactly one of both is called, at once or later.
    std::function<void(unsigned status, std::string const& body)> const answer_;
    std::function<void()> const drop_; // silence, without an answer
};

} // namespace fescuevane::soak

#endif
