// Purpose: accepts connections for a library, up to a bound.
#ifndef FESCUEVANE_IO_BOUNDED_SOCKETS_HPP
#define FESCUEVANE_IO_BOUNDED_SOCKETS_HPP

#include "io/socket_acceptor.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace fescuevane::io
{

// Keeps a duplicate of each descriptor, which shows the end of a connection and
// can end it: a library that owns the descriptor offers neither.
class bounded_sockets
{
public:
    // `accepted` owns the descriptor; `dropped` is called for each connection
    // that was ended to make place.
    bounded_sockets(std::size_t most, std::function<void(int)> accepted,
                    std::function<void()> dropped);
    ~bounded_sockets();
    bounded_sockets(bounded_sockets const&) = delete;
    bounded_sockets& operator=(bounded_sockets const&) = delete;

    // Throws std::runtime_error when the address, IP:port, can't be listened
    // on.
    void listen(std::string const& address);

private:
    struct entry
    {
        int       descriptor_ = -1;
        watch_ptr end_;
    };
    struct place
    {
        bounded_sockets& own_;
        std::uint64_t    id_;
    };

    static gboolean on_end(int descriptor, GIOCondition condition, void* place);
    void            add(socket_ptr socket);
    void            make_place();
    void            remove(std::uint64_t id);

    std::size_t const              most_;
    std::function<void(int)>       accepted_;
    std::function<void()>          dropped_;
    std::uint64_t                  last_id_ = 0;
    std::map<std::uint64_t, entry> entries_;
    socket_acceptor                acceptor_;
};

} // namespace fescuevane::io

#endif
