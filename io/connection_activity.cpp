// Purpose: what a connection did, as the system counts it.
#include "io/connection_activity.hpp"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <algorithm>
#include <utility>

namespace fescuevane::io
{

connection_activity read_activity(int descriptor)
{
    tcp_info  info = {};
    socklen_t size = sizeof info;
    getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size);
    return {.received_bytes_ = info.tcpi_bytes_received,
            .silent_ms_ = info.tcpi_last_data_recv};
}

std::size_t choose_idle(std::span<connection_activity const> rows)
{
    auto const before =
        [](connection_activity const& left, connection_activity const& right)
    {
        return std::pair(left.received_bytes_ > 0, right.silent_ms_) <
               std::pair(right.received_bytes_ > 0, left.silent_ms_);
    };
    return static_cast<std::size_t>(
        std::min_element(rows.begin(), rows.end(), before) - rows.begin());
}

} // namespace fescuevane::io
