// Purpose: streams to the targets of owned shards.
#ifndef FESCUEVANE_ENTRY_TARGET_LINK_HPP
#define FESCUEVANE_ENTRY_TARGET_LINK_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"
#include "entry/stream_writer.hpp"
#include "target.pb.h"

#include <cstdint>
#include <map>
#include <memory>

namespace fescuevane::entry
{

struct attach_target;
struct send_target;
class event_queue;

// Used from the main loop only.
class target_link
{
public:
    target_link(host_id owner, std::shared_ptr<event_queue> events);
    ~target_link();
    target_link(target_link const&) = delete;
    target_link& operator=(target_link const&) = delete;

    void attach(attach_target const& order);
    void detach(target_id const& target);
    void send(send_target const& order, instant now);

private:
    using stream = stream_writer<v1::OwnerBatch, v1::TargetBatch>;

    struct connection
    {
        std::shared_ptr<stream> stream_;
        shard_id                shard_;
        epoch                   epoch_ = 0;
        std::uint64_t           attachment_ = 0;
    };

    v1::OwnerBatch make_batch(connection const& to) const;

    host_id const                      owner_;
    std::shared_ptr<event_queue> const events_;
    std::map<target_id, connection>    connections_;
};

} // namespace fescuevane::entry

#endif
