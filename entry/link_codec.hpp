// Purpose: codec between the node's messages and the batches on its links.
// Decoding throws `wire::decode_error`.
#ifndef FESCUEVANE_ENTRY_LINK_CODEC_HPP
#define FESCUEVANE_ENTRY_LINK_CODEC_HPP

#include "core/instant.hpp"
#include "entry/peer_message.hpp"
#include "entry/send_target.hpp"

#include <vector>

namespace fescuevane::v1
{
class OwnerBatch;
class PeerBatch;
} // namespace fescuevane::v1

namespace platform::v1
{
class ListReply;
} // namespace platform::v1

namespace fescuevane::entry
{

struct hosts_listed;
struct target_reported;

// Peers
void append_message(peer_message const& message, instant now,
                    v1::PeerBatch& batch);
std::vector<peer_message> decode_messages(v1::PeerBatch const& batch,
                                          instant              now);

// Targets
void encode_orders(send_target const& orders, instant now,
                   v1::OwnerBatch& batch);

// Hosts. Never throws: an entry with an odd value counts as not listed.
hosts_listed decode_hosts(platform::v1::ListReply const& reply);

} // namespace fescuevane::entry

#endif
