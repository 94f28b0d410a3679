// Purpose: addresses for the processes of a cell under test.
#include "tests/prove/free_addresses.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace fescuevane::prove
{
namespace
{

// Linux gives ports from 32768 on to outgoing connections.
constexpr int first_port = 10240;
constexpr int port_count = 32768 - first_port;

// Cells that run at the same time begin at different ports.
constexpr int ports_per_cell = 97;

bool is_free(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    int const handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0)
    {
        throw std::runtime_error("no socket");
    }
    bool const bound = bind(handle, reinterpret_cast<sockaddr*>(&address),
                            sizeof address) == 0;
    close(handle);
    return bound;
}

} // namespace

std::vector<std::string> find_addresses(std::size_t count)
{
    static int const         offset = getpid() * ports_per_cell % port_count;
    static int               tried = 0;
    std::vector<std::string> found;
    while (found.size() < count)
    {
        if (tried == port_count)
        {
            throw std::runtime_error("no free port");
        }
        int const port = first_port + (offset + tried++) % port_count;
        if (is_free(port))
        {
            found.push_back("127.0.0.1:" + std::to_string(port));
        }
    }
    return found;
}

} // namespace fescuevane::prove
