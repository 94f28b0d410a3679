// Purpose: client of the link relay's control.
#include "tests/stand_ins/relay_control.hpp"

#include "tests/stand_ins/control_error.hpp"

#include <gio/gio.h>

#include <memory>
#include <utility>

namespace fescuevane::stand_ins
{
namespace
{

constexpr guint time_limit_seconds = 5;

struct object_deleter
{
    void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename Object>
using object_ptr = std::unique_ptr<Object, object_deleter>;

object_ptr<GSocketConnection> open_connection(std::string const& address)
{
    object_ptr<GSocketClient> const client(g_socket_client_new());
    g_socket_client_set_enable_proxy(client.get(), FALSE);
    g_socket_client_set_timeout(client.get(), time_limit_seconds);
    GError*                       error = nullptr;
    object_ptr<GSocketConnection> connection(g_socket_client_connect_to_host(
        client.get(), address.c_str(), 0, nullptr, &error));
    if (!connection)
    {
        control_error const failure(std::string("link relay: ") +
                                    error->message);
        g_error_free(error);
        throw failure;
    }
    return connection;
}

std::string exchange_line(GIOStream* connection, std::string const& line)
{
    if (g_output_stream_write_all(g_io_stream_get_output_stream(connection),
                                  line.data(), line.size(), nullptr, nullptr,
                                  nullptr) == FALSE)
    {
        return "error no connection";
    }
    object_ptr<GDataInputStream> const input(
        g_data_input_stream_new(g_io_stream_get_input_stream(connection)));
    char* const answer =
        g_data_input_stream_read_line(input.get(), nullptr, nullptr, nullptr);
    std::string text = answer == nullptr ? "error no reply" : answer;
    g_free(answer);
    return text;
}

} // namespace

relay_control::relay_control(std::string address) : address_(std::move(address))
{
}

void relay_control::cut(std::string const& group)
{
    send_line("cut " + group);
}

void relay_control::cut_outward(std::string const& group)
{
    send_line("cut-out " + group);
}

void relay_control::cut_inward(std::string const& group)
{
    send_line("cut-in " + group);
}

void relay_control::heal(std::string const& group)
{
    send_line("heal " + group);
}

void relay_control::reset(std::string const& group)
{
    send_line("reset " + group);
}

void relay_control::set_delay(std::string const& group, std::int64_t micros)
{
    send_line("delay " + group + " " + std::to_string(micros));
}

void relay_control::send_line(std::string const& line) const
{
    auto const        connection = open_connection(address_);
    std::string const answer =
        exchange_line(G_IO_STREAM(connection.get()), line + "\n");
    if (answer != "ok")
    {
        throw control_error("link relay: " + line + ": " + answer);
    }
}

} // namespace fescuevane::stand_ins
