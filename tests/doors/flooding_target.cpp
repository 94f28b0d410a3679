// Purpose: a target whose answers are far over their size.
#include "tests/doors/flooding_target.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <array>
#include <stdexcept>

namespace fescuevane::doors
{
namespace
{

constexpr int poll_ms = 50;

int listen_at(std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    sockaddr_in       place = {};
    place.sin_family = AF_INET;
    place.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &place.sin_addr);
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    constexpr int queue = 64;
    if (bind(socket, reinterpret_cast<sockaddr const*>(&place), sizeof place) !=
            0 ||
        listen(socket, queue) != 0)
    {
        throw std::runtime_error("can't listen at " + address);
    }
    return socket;
}

bool is_readable(int socket)
{
    pollfd waiting = {socket, POLLIN, 0};
    return poll(&waiting, 1, poll_ms) > 0;
}

bool send_all(int socket, std::string const& text)
{
    for (std::size_t sent = 0; sent < text.size();)
    {
        auto const size =
            send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

} // namespace

flooding_target::flooding_target(std::string const&     address,
                                 flooding_answer const& answer)
    : answer_(answer)
    , listening_(listen_at(address))
    , acceptor_(&flooding_target::accept_connections, this)
{
}

flooding_target::~flooding_target()
{
    ending_ = true;
    acceptor_.join();
    close(listening_);
}

void flooding_target::accept_connections()
{
    while (!ending_)
    {
        if (is_readable(listening_))
        {
            int const socket = accept(listening_, nullptr, nullptr);
            if (socket >= 0)
            {
                connections_.emplace_back(&flooding_target::serve, this,
                                          socket);
            }
        }
    }
    for (std::thread& each : connections_)
    {
        each.join();
    }
}

void flooding_target::serve(int socket)
{
    // A caller that stops to read is left.
    timeval const wait = {.tv_sec = 1, .tv_usec = 0};
    setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
    std::array<char, 4096> request{};
    bool                   open = true;
    while (open && !ending_)
    {
        if (!is_readable(socket))
        {
            continue;
        }
        open = recv(socket, request.data(), request.size(), 0) > 0 &&
               send_all(socket, answer_.head_);
        for (std::size_t unit = 0; open && !ending_ && unit < answer_.units_;
             ++unit)
        {
            open = send_all(socket, answer_.unit_);
        }
        ++answers_;
    }
    close(socket);
}

} // namespace fescuevane::doors
