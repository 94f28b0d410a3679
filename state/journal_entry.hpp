// Purpose: one job record that waits for its commit.
#ifndef FESCUEVANE_STATE_JOURNAL_ENTRY_HPP
#define FESCUEVANE_STATE_JOURNAL_ENTRY_HPP

#include "core/instant.hpp"
#include "core/job_key.hpp"
#include "state/row_write.hpp"

namespace fescuevane::state
{

struct journal_entry
{
    job_key const   job_;
    row_write const write_;
    instant const   noted_; // when the record was posted

    friend bool operator==(journal_entry const&,
                           journal_entry const&) = default;
};

} // namespace fescuevane::state

#endif
