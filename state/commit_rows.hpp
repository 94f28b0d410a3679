// Purpose: command: commit a transaction at the platform.
#ifndef FESCUEVANE_STATE_COMMIT_ROWS_HPP
#define FESCUEVANE_STATE_COMMIT_ROWS_HPP

#include "state/row_condition.hpp"
#include "state/row_write.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::state
{

// All writes happen or none. Sent again with the same id after a lost reply,
// which returns the first result.
struct commit_rows
{
    std::uint64_t const              request_ = 0; // matches the reply
    std::string const                commit_id_;
    std::vector<row_condition> const conditions_;
    std::vector<row_write> const     writes_;

    friend bool operator==(commit_rows const&, commit_rows const&) = default;
};

} // namespace fescuevane::state

#endif
