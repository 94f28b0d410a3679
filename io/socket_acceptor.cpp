// Purpose: a listening socket whose connections the main loop accepts.
#include "io/socket_acceptor.hpp"

#include "io/main_loop.hpp"

#include <charconv>
#include <stdexcept>
#include <utility>

namespace fescuevane::io
{
namespace
{

// The queue of the system for connections that weren't accepted yet.
constexpr int backlog = 1024;

// Pause after a failed accept: without descriptors the next one fails, too.
constexpr std::int64_t pause_micros = 100'000;

} // namespace

socket_acceptor::socket_acceptor(std::function<void(socket_ptr)> accepted)
    : accepted_(std::move(accepted))
    , again_(
          [this]
          {
              watch();
          })
{
}

void socket_acceptor::listen(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    unsigned          port = 0;
    bool const        has_port = colon != std::string::npos &&
                          std::from_chars(address.data() + colon + 1,
                                          address.data() + address.size(), port)
                                  .ec == std::errc();
    GSocketAddress* place = has_port
                                ? g_inet_socket_address_new_from_string(
                                      address.substr(0, colon).c_str(), port)
                                : nullptr;
    GError*         error = nullptr;
    bool            done = false;
    if (place != nullptr)
    {
        socket_.reset(g_socket_new(g_socket_address_get_family(place),
                                   G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                   &error));
    }
    if (socket_)
    {
        g_socket_set_blocking(socket_.get(), FALSE);
        g_socket_set_listen_backlog(socket_.get(), backlog);
        done = g_socket_bind(socket_.get(), place, TRUE, &error) != FALSE &&
               g_socket_listen(socket_.get(), &error) != FALSE;
    }
    g_clear_object(&place);
    if (!done)
    {
        std::string const reason =
            error != nullptr ? error->message : "malformed address";
        g_clear_error(&error);
        throw std::runtime_error("can't listen on " + address + ": " + reason);
    }
    watch();
}

void socket_acceptor::stop()
{
    watch_.reset();
    again_.arm(instant::never());
    if (socket_)
    {
        g_socket_close(socket_.get(), nullptr);
    }
}

std::uint16_t socket_acceptor::port() const
{
    GSocketAddress* address =
        socket_ ? g_socket_get_local_address(socket_.get(), nullptr) : nullptr;
    std::uint16_t const port =
        address == nullptr
            ? std::uint16_t{0}
            : g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(address));
    g_clear_object(&address);
    return port;
}

void socket_acceptor::watch()
{
    watch_.reset(g_socket_create_source(socket_.get(), G_IO_IN, nullptr));
    g_source_set_callback(watch_.get(), G_SOURCE_FUNC(&on_ready), this,
                          nullptr);
    g_source_attach(watch_.get(), nullptr);
}

gboolean socket_acceptor::on_ready(GSocket* /*socket*/,
                                   GIOCondition /*condition*/, void* own)
{
    // One a turn: the end of a connection that made place shows to a library
    // only while its descriptor's number isn't used again.
    static_cast<socket_acceptor*>(own)->accept_one();
    return G_SOURCE_CONTINUE;
}

void socket_acceptor::accept_one()
{
    GError*    error = nullptr;
    socket_ptr socket(g_socket_accept(socket_.get(), nullptr, &error));
    if (socket)
    {
        accepted_(std::move(socket));
        return;
    }
    if (!g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    {
        watch_.reset();
        again_.arm(read_clock().after(pause_micros));
    }
    g_error_free(error);
}

} // namespace fescuevane::io
