// Purpose: whether an owner can show that no other host has taken its shard,
// and when a new owner may rely on that.
//
// An owner renews leases and sends starts only with a proof that is younger
// than `fence_notice_micros_`: a reply of the store that would have shown a
// higher epoch, or replies of more than half of the shard's targets. A new
// owner counts former leases from the time at which each former owner has lost
// both: the store shows the claim, and half of the targets have accepted its
// epoch.
//
// Index of sections
//   1. Proof of the present owner
//   2. End of former owners
#include "cell/sessions.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace fescuevane::cell
{

// 1. Proof of the present owner

namespace
{

bool is_recent(node const& context, instant asked_at)
{
    return asked_at != instant() &&
           asked_at.after(context.settings_.fence_notice_micros_) >
               context.now_;
}

// Open sessions of a shard, and those of them that meet a condition.
template <typename Condition>
std::pair<std::size_t, std::size_t>
count_sessions(node const& context, shard_id const& shard, Condition holds)
{
    std::size_t all = 0;
    std::size_t found = 0;
    for (session_row const& session : context.sessions_)
    {
        if (session.open_ && session.shard_ == shard)
        {
            ++all;
            found += holds(session) ? 1 : 0;
        }
    }
    return {all, found};
}

bool has_proof_of_targets(node const& context, shard_id const& shard)
{
    auto const [all, proven] =
        count_sessions(context, shard,
                       [&context](session_row const& session)
                       {
                           return is_recent(context, session.proven_at_);
                       });
    return 2 * proven > all;
}

} // namespace

bool has_proof_of_store(node const& context, owned_row const& own)
{
    return is_recent(context,
                     std::max(context.members_asked_at_, own.proven_at_));
}

bool has_proof(node const& context, shard_id const& shard, owned_row const& own)
{
    return has_proof_of_store(context, own) ||
           has_proof_of_targets(context, shard);
}

void apply(node& context, members_confirmed const& input)
{
    context.members_asked_at_ =
        std::max(context.members_asked_at_, input.asked_at_);
}

void note_store_proof(owned_row& own, store_reply const& reply,
                      request_row const& request)
{
    if (reply.outcome_ == store_outcome::done)
    {
        own.proven_at_ = std::max(own.proven_at_, request.sent_);
    }
}

// 2. End of former owners

namespace
{

void set_exclusive(owned_row& own, instant since)
{
    own.exclusive_since_ = std::min(own.exclusive_since_, since);
}

} // namespace

// The predecessor may have owned the shard too briefly for the owner before it
// to learn of that, and to stop renewing leases.
void note_predecessor_stopped(node const& context, owned_row& own)
{
    set_exclusive(
        own, own.predecessor_exclusive_
                 ? context.now_
                 : context.now_.after(context.settings_.fence_notice_micros_));
}

// Another target has accepted this owner's epoch.
void note_fence_contact(node const& context, shard_id const& shard,
                        owned_row& own)
{
    auto const [all, reached] =
        count_sessions(context, shard,
                       [](session_row const& session)
                       {
                           return session.proven_at_ != instant();
                       });
    settings const& values = context.settings_;
    set_exclusive(own, context.now_.after(2 * reached >= all
                                              ? values.fence_notice_micros_
                                              : values.unproven_owner_micros_));
}

} // namespace fescuevane::cell
