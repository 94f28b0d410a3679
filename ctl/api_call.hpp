// Purpose: calls of the API as commands make them.
#ifndef FESCUEVANE_CTL_API_CALL_HPP
#define FESCUEVANE_CTL_API_CALL_HPP

#include "ctl/api_reply.hpp"
#include "ctl/http_request.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::ctl
{

struct context;

// Sends the call within the time left and decodes the reply. Throws ctl_error
// when there is no reply, when it is an error object, or when it isn't JSON.
api_reply call_api(context& context, http_request const& request);

// Milliseconds until the deadline of the command; 0 when it has passed.
std::int64_t find_time_left(context const& context);

// The `wait_ms` to ask for, short enough for the reply to arrive in time.
std::int64_t choose_wait(context const& context);

// Pauses between two polls of the same state.
void pause_before_poll();

std::string escape_path(std::string const& text); // for one path segment

} // namespace fescuevane::ctl

#endif
