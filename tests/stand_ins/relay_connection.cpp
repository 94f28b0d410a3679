// Purpose: one relayed connection.
#include "tests/stand_ins/relay_connection.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <utility>

namespace fescuevane::stand_ins
{
namespace
{

GSocket* prepare_socket(GSocketConnection* connection)
{
    GSocket* const socket = g_socket_connection_get_socket(connection);
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    return socket;
}

void close_connection(GSocketConnection* connection)
{
    g_io_stream_close(G_IO_STREAM(connection), nullptr, nullptr);
    g_object_unref(connection);
}

} // namespace

relay_connection::relay_connection(GSocketConnection* near,
                                   GSocketConnection* far,
                                   group_table const& groups, std::size_t group,
                                   std::function<void()> closed)
    : near_(G_SOCKET_CONNECTION(g_object_ref(near)))
    , far_(G_SOCKET_CONNECTION(g_object_ref(far)))
    , group_(group)
    , closed_(std::move(closed))
{
    GSocket* const a = prepare_socket(near_);
    GSocket* const b = prepare_socket(far_);
    auto const     ended = [this](bool failed)
    {
        end_pipe(failed);
    };
    outward_ =
        std::make_unique<relay_pipe>(a, b, groups, group, cut_outward, ended);
    inward_ =
        std::make_unique<relay_pipe>(b, a, groups, group, cut_inward, ended);
}

relay_connection::~relay_connection()
{
    outward_.reset();
    inward_.reset();
    close_connection(near_);
    close_connection(far_);
}

void relay_connection::update()
{
    outward_->update();
    inward_->update();
}

void relay_connection::end_pipe(bool failed)
{
    if (failed || --open_pipes_ == 0)
    {
        auto const closed = closed_; // destroys this connection
        closed();
    }
}

} // namespace fescuevane::stand_ins
