// Purpose: what an owner's answer to a passed call means.
#ifndef FESCUEVANE_ENTRY_ANSWER_KIND_HPP
#define FESCUEVANE_ENTRY_ANSWER_KIND_HPP

#include <cstdint>

namespace fescuevane::entry
{

enum class answer_kind : std::uint8_t
{
    state,     // the state of the job, final or not
    not_owner, // the receiver does not own the shard; it did nothing
    not_here,  // nothing ran here; another shard has to be asked
    no_record  // of a look-up: the owner has no record of the job
};

} // namespace fescuevane::entry

#endif
