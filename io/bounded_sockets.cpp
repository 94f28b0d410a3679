// Purpose: accepts connections for a library, up to a bound.
#include "io/bounded_sockets.hpp"

#include "io/connection_activity.hpp"

#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <algorithm>
#include <utility>
#include <vector>

namespace fescuevane::io
{
bounded_sockets::bounded_sockets(std::size_t              most,
                                 std::function<void(int)> accepted,
                                 std::function<void()>    dropped)
    : most_(most)
    , accepted_(std::move(accepted))
    , dropped_(std::move(dropped))
    , acceptor_(
          [this](socket_ptr socket)
          {
              add(std::move(socket));
          })
{
}

bounded_sockets::~bounded_sockets()
{
    acceptor_.stop();
    for (auto const& [id, each] : entries_)
    {
        close(each.descriptor_);
    }
}

void bounded_sockets::listen(std::string const& address)
{
    acceptor_.listen(address);
}

void bounded_sockets::add(socket_ptr socket)
{
    if (entries_.size() >= most_)
    {
        make_place();
    }
    // Small messages would wait for the peer's delayed acknowledgement; the
    // gRPC library sets this only on sockets that it accepts itself.
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    int const kept = fcntl(g_socket_get_fd(socket.get()), F_DUPFD_CLOEXEC, 0);
    int const given = fcntl(g_socket_get_fd(socket.get()), F_DUPFD_CLOEXEC, 0);
    socket.reset();
    if (kept < 0 || given < 0)
    {
        close(std::max(kept, given));
        return;
    }
    std::uint64_t const id = ++last_id_;
    watch_ptr           end(
                  g_unix_fd_source_new(kept, GIOCondition(G_IO_HUP | G_IO_ERR)));
    g_source_set_callback(end.get(), G_SOURCE_FUNC(&on_end),
                          new place{*this, id},
                          [](void* data)
                          {
                              delete static_cast<place*>(data);
                          });
    g_source_attach(end.get(), nullptr);
    entries_.emplace(id, entry{kept, std::move(end)});
    accepted_(given);
}

gboolean bounded_sockets::on_end(int /*descriptor*/, GIOCondition /*condition*/,
                                 void* data)
{
    place const at = *static_cast<place*>(data);
    at.own_.remove(at.id_);
    return G_SOURCE_REMOVE;
}

void bounded_sockets::make_place()
{
    std::vector<std::uint64_t>       ids;
    std::vector<connection_activity> rows;
    for (auto const& [id, each] : entries_)
    {
        ids.push_back(id);
        rows.push_back(read_activity(each.descriptor_));
    }
    if (!ids.empty())
    {
        std::uint64_t const id = ids.at(choose_idle(rows));
        shutdown(entries_.at(id).descriptor_, SHUT_RDWR);
        remove(id);
        dropped_();
    }
}

void bounded_sockets::remove(std::uint64_t id)
{
    auto const found = entries_.find(id);
    if (found != entries_.end())
    {
        close(found->second.descriptor_);
        entries_.erase(found);
    }
}

} // namespace fescuevane::io
