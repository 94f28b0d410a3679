// Purpose: gRPC channels and clocks as all links use them.
#ifndef FESCUEVANE_ENTRY_CHANNEL_HPP
#define FESCUEVANE_ENTRY_CHANNEL_HPP

#include "core/instant.hpp"

#include <memory>
#include <string>

namespace grpc
{
class Channel;
} // namespace grpc

namespace fescuevane::entry
{

// A channel of its own connection to `address`, IP and port.
std::shared_ptr<grpc::Channel> open_channel(std::string const& address);

instant read_clock(); // monotonic clock of this process

} // namespace fescuevane::entry

#endif
