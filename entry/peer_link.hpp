// Purpose: streams to the other entry processes, one each, for what this
// process sends to them.
#ifndef FESCUEVANE_ENTRY_PEER_LINK_HPP
#define FESCUEVANE_ENTRY_PEER_LINK_HPP

#include "core/ids.hpp"
#include "entry/peer_message.hpp"
#include "entry/settings.hpp"
#include "entry/stream_writer.hpp"
#include "peer.pb.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>

namespace fescuevane::entry
{

struct connect_peers;
class event_queue;

// Used from the main loop only.
class peer_link
{
public:
    peer_link(settings const& values, std::shared_ptr<event_queue> events);
    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    void set_peers(connect_peers const& order);
    void add(host_id const& host, peer_message const& message, instant now);
    void flush(); // sends what was added since the last call

private:
    using stream = stream_writer<v1::PeerBatch, v1::PeerBatch>;

    struct connection
    {
        std::string             address_;
        std::shared_ptr<stream> stream_;
        std::shared_ptr<std::atomic<bool>>
                      open_; // false when the stream has ended
        v1::PeerBatch batch_;
        bool          used_ = false; // the batch has content
    };

    void open(host_id const& host, connection& to);

    settings const                     settings_;
    std::shared_ptr<event_queue> const events_;
    std::map<host_id, connection>      connections_;
};

} // namespace fescuevane::entry

#endif
