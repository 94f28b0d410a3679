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

#include <charconv>
#include <cstring>
#include <memory>

namespace fescuevane::entry
{
namespace
{

struct bytes_deleter
{
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

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

std::size_t count_header_bytes(SoupServerMessage* message)
{
    std::size_t size = 0;
    soup_message_headers_foreach(
        soup_server_message_get_request_headers(message),
        [](char const* name, char const* value, void* sum)
        {
            *static_cast<std::size_t*>(sum) +=
                std::strlen(name) + std::strlen(value) + 4;
        },
        &size);
    return size;
}

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

void refuse_body(SoupServerMessage* message, std::uint64_t limit)
{
    SoupMessageBody* const body = soup_server_message_get_request_body(message);
    soup_message_body_truncate(body);
    soup_message_body_set_accumulate(body, FALSE);
    send_reply(message, write_error(413, "body: longer than " +
                                             std::to_string(limit) + " bytes"));
}

struct body_count
{
    std::uint64_t const limit_;
    std::uint64_t       size_ = 0;
};

// Counts a body of undeclared length while it arrives.
void on_chunk(SoupServerMessage* message, GBytes* chunk, void* data)
{
    auto* const count = static_cast<body_count*>(data);
    bool const  fitted = count->size_ <= count->limit_;
    count->size_ += g_bytes_get_size(chunk);
    if (fitted && count->size_ > count->limit_)
    {
        refuse_body(message, count->limit_);
    }
}

void free_count(void* data, GClosure* /*closure*/)
{
    delete static_cast<body_count*>(data);
}

std::string read_body(SoupServerMessage* message)
{
    std::unique_ptr<GBytes, bytes_deleter> const bytes(
        soup_message_body_flatten(
            soup_server_message_get_request_body(message)));
    gsize             size = 0;
    void const* const data = g_bytes_get_data(bytes.get(), &size);
    return size == 0 ? std::string()
                     : std::string(static_cast<char const*>(data), size);
}

} // namespace

void limit_body(SoupServerMessage* message, std::uint64_t limit)
{
    SoupMessageHeaders* const headers =
        soup_server_message_get_request_headers(message);
    goffset const declared = soup_message_headers_get_content_length(headers);
    if (soup_message_headers_get_encoding(headers) ==
            SOUP_ENCODING_CONTENT_LENGTH &&
        static_cast<std::uint64_t>(declared) > limit)
    {
        refuse_body(message, limit);
        return;
    }
    g_signal_connect_data(message, "got-chunk", G_CALLBACK(&on_chunk),
                          new body_count{limit}, &free_count, GConnectFlags(0));
}

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
