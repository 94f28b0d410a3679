// Purpose: HTTP server of a stand-in.
#include "tests/soak/http_server.hpp"

#include "io/main_loop.hpp"
#include "tests/soak/http_call.hpp"

#include <charconv>
#include <stdexcept>
#include <utility>

namespace fescuevane::soak
{
namespace
{

constexpr char const* instance_header = "X-Fescuevane-Expected-Instance";

// Longer than any deadline of the product, so that it never reads the answer
// that ends a dropped call.
constexpr std::int64_t silence_micros = 70'000'000;

void send_answer(SoupServerMessage* message, unsigned status,
                 std::string const& body)
{
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, body.data(),
                                     body.size());
    soup_server_message_unpause(message);
    g_object_unref(message);
}

std::map<std::string, std::string> read_query(GHashTable* query)
{
    std::map<std::string, std::string> values;
    if (query == nullptr)
    {
        return values;
    }
    GHashTableIter iterator;
    gpointer       name = nullptr;
    gpointer       value = nullptr;
    g_hash_table_iter_init(&iterator, query);
    while (g_hash_table_iter_next(&iterator, &name, &value) != FALSE)
    {
        values[static_cast<char const*>(name)] =
            static_cast<char const*>(value);
    }
    return values;
}

std::string read_caller(SoupServerMessage* message)
{
    char const* const host = soup_server_message_get_remote_host(message);
    return host == nullptr ? "" : host;
}

} // namespace

http_server::http_server(std::string const& address, handler handle)
    : handle_(std::move(handle)), server_(soup_server_new(nullptr, nullptr))
{
    std::size_t const colon = address.rfind(':');
    guint             port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                    port);
    GSocketAddress* const place = g_inet_socket_address_new_from_string(
        address.substr(0, colon).c_str(), port);
    GError*    error = nullptr;
    bool const listens =
        place != nullptr &&
        soup_server_listen(server_, place, SoupServerListenOptions(0),
                           &error) != FALSE;
    if (place != nullptr)
    {
        g_object_unref(place);
    }
    if (!listens)
    {
        std::string const reason =
            error == nullptr ? "malformed address" : error->message;
        g_clear_error(&error);
        g_object_unref(server_);
        throw std::runtime_error("can't listen on " + address + ": " + reason);
    }
    soup_server_add_handler(
        server_, nullptr,
        reinterpret_cast<SoupServerCallback>(&http_server::on_call), this,
        nullptr);
}

http_server::~http_server()
{
    soup_server_disconnect(server_);
    g_object_unref(server_);
}

// No exception may pass through the library's C functions.
void http_server::on_call(SoupServer* /*server*/, SoupServerMessage* message,
                          char const* path, GHashTable* query, void* own)
{
    try
    {
        static_cast<http_server*>(own)->handle(message, path, query);
    }
    catch (std::exception const& error)
    {
        g_printerr("%s: %s\n", path, error.what());
        send_answer(message, SOUP_STATUS_BAD_REQUEST, "{}");
    }
}

void http_server::handle(SoupServerMessage* message, char const* path,
                         GHashTable* query)
{
    g_object_ref(message);
    soup_server_message_pause(message);
    SoupMessageBody* const body = soup_server_message_get_request_body(message);
    GBytes* const          bytes = soup_message_body_flatten(body);
    gsize                  size = 0;
    auto const* const      data =
        static_cast<char const*>(g_bytes_get_data(bytes, &size));
    std::string const text(data == nullptr ? "" : data, size);
    g_bytes_unref(bytes);
    char const* const instance = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), instance_header);
    handle_({.path_ = path,
             .query_ = read_query(query),
             .body_ = text,
             .caller_ = read_caller(message),
             .instance_ = instance == nullptr ? "" : instance,
             .answer_ =
                 [message](unsigned status, std::string const& answer)
             {
                 send_answer(message, status, answer);
             },
             .drop_ =
                 [this, message]
             {
                 silences_.add(io::read_clock().after(silence_micros),
                               [message]
                               {
                                   send_answer(message,
                                               SOUP_STATUS_GATEWAY_TIMEOUT,
                                               "{}");
                               });
             }});
}

} // namespace fescuevane::soak
