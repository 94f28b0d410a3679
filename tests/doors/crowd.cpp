// Purpose: clients that send what no ordinary client sends.
#include "tests/doors/crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <array>
#include <cerrno>
#include <charconv>

namespace fescuevane::doors
{
namespace
{

// A process that takes nothing for this long is left with the connections.
constexpr int stall_ms = 1500;
constexpr int answer_s = 20;

int open_socket(std::string const& address, int flags)
{
    std::size_t const colon = address.rfind(':');
    sockaddr_in       place = {};
    place.sin_family = AF_INET;
    place.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &place.sin_addr);
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    int const on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(socket, reinterpret_cast<sockaddr const*>(&place),
                sizeof place) != 0 &&
        errno != EINPROGRESS)
    {
        close(socket);
        return -1;
    }
    return socket;
}

} // namespace

crowd::crowd(std::string const& address, flood const& sent)
{
    for (std::size_t count = 0; count < sent.connections_; ++count)
    {
        int const socket = open_socket(address, SOCK_NONBLOCK);
        if (socket < 0)
        {
            continue;
        }
        // One after the other: the queue of new connections is short.
        pollfd connecting = {socket, POLLOUT, 0};
        poll(&connecting, 1, stall_ms);
        senders_.push_back({.socket_ = socket});
    }
    bool progress = true;
    while (progress)
    {
        std::vector<pollfd>  waiting;
        std::vector<sender*> owners;
        for (sender& each : senders_)
        {
            if (each.unit_ <= sent.units_)
            {
                waiting.push_back({each.socket_, POLLOUT, 0});
                owners.push_back(&each);
            }
        }
        progress = !waiting.empty() &&
                   poll(waiting.data(), waiting.size(), stall_ms) > 0;
        for (std::size_t row = 0; progress && row < waiting.size(); ++row)
        {
            if (waiting[row].revents != 0 && !advance(*owners[row], sent))
            {
                owners[row]->unit_ = sent.units_ + 1;
            }
        }
    }
}

crowd::~crowd()
{
    for (sender const& each : senders_)
    {
        close(each.socket_);
    }
}

// False when the connection is closed.
bool crowd::advance(sender& own, flood const& sent)
{
    std::string const& text = own.unit_ == 0 ? sent.head_ : sent.unit_;
    auto const         size = text.empty()
                                  ? 0
                                  : send(own.socket_, text.data() + own.offset_,
                                         text.size() - own.offset_, MSG_NOSIGNAL);
    if (size < 0)
    {
        return errno == EAGAIN;
    }
    own.offset_ += static_cast<std::size_t>(size);
    if (own.offset_ == text.size())
    {
        own.offset_ = 0;
        ++own.unit_;
    }
    return true;
}

int connect_to(std::string const& address)
{
    return open_socket(address, 0);
}

int request(std::string const& address, std::string const& text)
{
    int const socket = connect_to(address);
    if (socket < 0)
    {
        return 0;
    }
    timeval const wait = {.tv_sec = answer_s, .tv_usec = 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
    send(socket, text.data(), text.size(), MSG_NOSIGNAL);
    std::array<char, 64> answer{};
    auto const size = recv(socket, answer.data(), answer.size(), MSG_WAITALL);
    close(socket);
    constexpr std::size_t status_at = 9; // after "HTTP/1.1 "
    int                   status = 0;
    if (size > static_cast<ssize_t>(status_at) + 3)
    {
        std::from_chars(answer.data() + status_at,
                        answer.data() + status_at + 3, status);
    }
    return status;
}

} // namespace fescuevane::doors
