// Purpose: calls of the API as commands make them.
#include "ctl/api_call.hpp"

#include "ctl/context.hpp"
#include "ctl/ctl_error.hpp"
#include "ctl/fields.hpp"
#include "ctl/http_client.hpp"

#include <algorithm>

namespace fescuevane::ctl
{
namespace
{

// The server's limit of `wait_ms`; longer waits are made of several calls.
constexpr std::int64_t max_wait_ms = 30'000;
// Time for the reply to arrive after the server has stopped waiting.
constexpr std::int64_t reply_margin_ms = 500;
constexpr gulong       poll_pause_micros = 100'000;

void check_fault(http_request const& request, http_reply const& reply)
{
    if (reply.fault_ == call_fault::none)
    {
        return;
    }
    std::string message =
        request.method_ + " " + request.path_ + ": " + reply.message_;
    if (reply.fault_ != call_fault::no_connection && request.method_ != "GET")
    {
        message += "; the call may have taken effect";
    }
    throw ctl_error(exit_code::no_reply, message);
}

// A successful status with an unreadable body tells nothing about the effect.
exit_code rate_unreadable(unsigned status)
{
    exit_code const code = rate_status(status);
    return code == exit_code::done ? exit_code::unknown : code;
}

} // namespace

api_reply call_api(context& context, http_request const& request)
{
    std::int64_t const left = find_time_left(context);
    if (left == 0)
    {
        throw ctl_error(exit_code::no_reply, "the timeout has passed");
    }
    http_reply const reply = context.client_.call(request, left);
    check_fault(request, reply);
    json const body = json::parse(reply.body_, nullptr, false);
    if (!body.is_object())
    {
        throw ctl_error(rate_unreadable(reply.status_),
                        "status " + std::to_string(reply.status_) +
                            " with a body that is no JSON object");
    }
    if (body.contains("error"))
    {
        json const error = read_object(body, "error");
        throw ctl_error(rate_unreadable(reply.status_),
                        read_text(error, "code") + ": " +
                            read_text(error, "message"));
    }
    return {.status_ = reply.status_, .body_ = body};
}

std::int64_t find_time_left(context const& context)
{
    return std::max<std::int64_t>(
        (context.deadline_ - g_get_monotonic_time()) / 1000, 0);
}

std::int64_t choose_wait(context const& context)
{
    return std::clamp<std::int64_t>(find_time_left(context) - reply_margin_ms,
                                    0, max_wait_ms);
}

void pause_before_poll()
{
    g_usleep(poll_pause_micros);
}

std::string escape_path(std::string const& text)
{
    char* const escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
    std::string result = escaped;
    g_free(escaped);
    return result;
}

} // namespace fescuevane::ctl
