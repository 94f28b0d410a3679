// Purpose: a listening socket whose connections the main loop accepts.
#ifndef FESCUEVANE_IO_SOCKET_ACCEPTOR_HPP
#define FESCUEVANE_IO_SOCKET_ACCEPTOR_HPP

#include "io/socket_ptr.hpp"
#include "io/timer.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace fescuevane::io
{

class socket_acceptor
{
public:
    explicit socket_acceptor(std::function<void(socket_ptr)> accepted);

    // Throws std::runtime_error when the address, IP:port, can't be listened
    // on.
    void          listen(std::string const& address);
    void          stop();
    std::uint16_t port() const; // 0 before `listen`
    GSocket*      socket() const { return socket_.get(); }

private:
    static gboolean on_ready(GSocket* socket, GIOCondition condition,
                             void* own);
    void            watch();
    void            accept_one();

    std::function<void(socket_ptr)> accepted_;
    socket_ptr                      socket_;
    watch_ptr                       watch_;
    timer                           again_;
};

} // namespace fescuevane::io

#endif
