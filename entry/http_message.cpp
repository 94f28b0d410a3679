// Purpose: functions over one libsoup server message.
//
// Index of sections
//   1. Headers
//   2. Body
//   3. Query and path
//   4. Call and answer
#include "entry/http_message.hpp"

#include "core/instant.hpp"
#include "entry/http_error.hpp"
#include "entry/http_json.hpp"
#include "entry/http_reply.hpp"
#include "io/bounded_json.hpp"
#include "io/http_listener.hpp"

#include <charconv>
#include <memory>

namespace fescuevane::entry
{
namespace
{

struct text_deleter
{
    void operator()(char* text) const { g_free(text); }
};

std::string read_header(SoupServerMessage* message, char const* name)
{
    char const* const value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value == nullptr ? "" : value;
}

} // namespace

// 1. Headers

void check_content_type(SoupServerMessage* message)
{
    SoupMessageHeaders* const headers =
        soup_server_message_get_request_headers(message);
    char const* const type =
        soup_message_headers_get_content_type(headers, nullptr);
    if (type == nullptr || g_ascii_strcasecmp(type, "application/json") != 0)
    {
        throw http_error(415, "Content-Type: expected application/json");
    }
}

// 2. Body

namespace
{

std::string read_body(SoupServerMessage* message)
{
    // A parsed value takes tens of bytes of memory.
    constexpr io::json_limits limits{.max_values_ = 1'000'000};
    std::string               text = io::http_listener::take_body(message);
    if (!io::fits(text, limits))
    {
        throw http_error(400, "body: more than " +
                                  std::to_string(limits.max_values_) +
                                  " values, or nested deeper than " +
                                  std::to_string(limits.max_depth_));
    }
    return text;
}

} // namespace

// 3. Query and path

std::string decode_segment(std::string const& segment)
{
    std::unique_ptr<char, text_deleter> const text(
        g_uri_unescape_string(segment.c_str(), nullptr));
    if (!text || g_utf8_validate(text.get(), -1, nullptr) == FALSE)
    {
        throw http_error(400, "path: expected percent-encoded UTF-8");
    }
    return text.get();
}

namespace
{

std::optional<std::int64_t> parse_wait(std::string_view query)
{
    constexpr std::string_view name = "wait_ms=";
    if (query.empty())
    {
        return std::nullopt;
    }
    std::int64_t      wait_ms = -1;
    char const* const last = query.data() + query.size();
    if (query.starts_with(name))
    {
        auto const [end, error] =
            std::from_chars(query.data() + name.size(), last, wait_ms);
        if (error == std::errc() && end == last && wait_ms >= 0 &&
            wait_ms <= max_wait_micros / micros_per_milli)
        {
            return wait_ms * micros_per_milli;
        }
    }
    throw http_error(400,
                     "query: expected only wait_ms, a whole number from "
                     "0 to " +
                         std::to_string(max_wait_micros / micros_per_milli));
}

std::string_view read_query(SoupServerMessage* message)
{
    char const* const query =
        g_uri_get_query(soup_server_message_get_uri(message));
    return query == nullptr ? std::string_view() : query;
}

} // namespace

// 4. Call and answer

http_call decode_call(SoupServerMessage* message, std::string const& argument)
{
    return {.method_ = soup_server_message_get_method(message),
            .path_ = g_uri_get_path(soup_server_message_get_uri(message)),
            .argument_ = decode_segment(argument),
            .wait_micros_ = parse_wait(read_query(message)),
            .team_ = team_id(read_header(message, "X-Team")),
            .key_ = read_header(message, "X-Key"),
            .traceparent_ = read_header(message, "traceparent"),
            .body_ = read_body(message)};
}

void send_reply(SoupServerMessage* message, http_reply const& reply)
{
    SoupMessageHeaders* const headers =
        soup_server_message_get_response_headers(message);
    if (reply.retry_after_s_ > 0)
    {
        soup_message_headers_replace(
            headers, "Retry-After",
            std::to_string(reply.retry_after_s_).c_str());
    }
    if (!reply.allow_.empty())
    {
        soup_message_headers_replace(headers, "Allow", reply.allow_.c_str());
    }
    soup_server_message_set_status(message, reply.status_, nullptr);
    soup_server_message_set_response(message, reply.content_type_.c_str(),
                                     SOUP_MEMORY_COPY, reply.body_.data(),
                                     reply.body_.size());
}

} // namespace fescuevane::entry
