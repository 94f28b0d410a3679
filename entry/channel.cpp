// Purpose: gRPC channels and clocks as all links use them.
#include "entry/channel.hpp"

#include "wire/bounds.hpp"

#include <glib.h>
#include <grpcpp/grpcpp.h>

namespace fescuevane::entry
{
namespace
{

// Links are opened again by the node, which knows which ones are needed; slow
// reconnects of a channel would only delay a takeover.
constexpr int reconnect_min_millis = 100;
constexpr int reconnect_max_millis = 500;

// A peer that is cut off without a reset is noticed by these pings.
constexpr int keepalive_millis = 2000;

} // namespace

std::shared_ptr<grpc::Channel> open_channel(std::string const& address)
{
    grpc::ChannelArguments arguments;
    arguments.SetMaxReceiveMessageSize(wire::max_message_bytes);
    arguments.SetMaxSendMessageSize(wire::max_message_bytes);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     reconnect_min_millis);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnect_min_millis);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_max_millis);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_millis);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_millis);
    return grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
}

instant read_clock()
{
    return instant(g_get_monotonic_time());
}

} // namespace fescuevane::entry
