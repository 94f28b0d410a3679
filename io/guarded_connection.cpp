// Purpose: passes a connection on to the gRPC library, up to a message that is
// too large.
#include "io/guarded_connection.hpp"

#include "io/main_loop.hpp"

#include <fcntl.h>
#include <glib-unix.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cerrno>
#include <utility>

namespace fescuevane::io
{
namespace
{

void drop_source(GSource*& source)
{
    if (GSource* const old = std::exchange(source, nullptr))
    {
        g_source_destroy(old);
        g_source_unref(old);
    }
}

} // namespace

guarded_connection::guarded_connection(int client, int library,
                                       std::size_t max_message_bytes,
                                       std::function<void(bool)> ended)
    : guard_(max_message_bytes)
    , ended_(std::move(ended))
    , incoming_{*this, client, library, true}
    , outgoing_{*this, library, client, false}
{
    for (int const descriptor : {client, library})
    {
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    }
    wait(incoming_);
    wait(outgoing_);
}

guarded_connection::~guarded_connection()
{
    drop_source(incoming_.source_);
    drop_source(outgoing_.source_);
    // Other descriptors of the client's connection may be open.
    shutdown(incoming_.from_, SHUT_RDWR);
    close(incoming_.from_);
    close(incoming_.to_);
}

void guarded_connection::wait(direction& way)
{
    drop_source(way.source_);
    bool const writes = !way.unsent_.empty();
    way.source_ = g_unix_fd_source_new(writes ? way.to_ : way.from_,
                                       writes ? G_IO_OUT : G_IO_IN);
    g_source_set_callback(way.source_, G_SOURCE_FUNC(&on_ready), &way, nullptr);
    g_source_attach(way.source_, nullptr);
}

gboolean guarded_connection::on_ready(int /*descriptor*/,
                                      GIOCondition /*condition*/, void* data)
{
    auto&      way = *static_cast<direction*>(data);
    bool const wrote = !way.unsent_.empty();
    if (!way.own_.move(way))
    {
        return G_SOURCE_REMOVE;
    }
    if (wrote != !way.unsent_.empty())
    {
        wait(way); // for the other side
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

bool guarded_connection::move(direction& way)
{
    if (way.unsent_.empty())
    {
        auto const size =
            recv(way.from_, way.block_.data(), way.block_.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR))
        {
            return true;
        }
        if (size <= 0)
        {
            end(false);
            return false;
        }
        way.unsent_ = {way.block_.data(), static_cast<std::size_t>(size)};
        if (way.guarded_ && !guard_.accept(way.unsent_))
        {
            end(true);
            return false;
        }
    }
    auto const size =
        send(way.to_, way.unsent_.data(), way.unsent_.size(), MSG_NOSIGNAL);
    if (size < 0 && errno != EAGAIN && errno != EINTR)
    {
        end(false);
        return false;
    }
    way.unsent_.remove_prefix(size < 0 ? 0 : static_cast<std::size_t>(size));
    return true;
}

void guarded_connection::end(bool refused)
{
    drop_source(incoming_.source_);
    drop_source(outgoing_.source_);
    // The owner destroys this, so it can't be called from here.
    run_in_main_loop(
        [ended = ended_, refused]
        {
            ended(refused);
        });
}

} // namespace fescuevane::io
