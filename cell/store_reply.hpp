// Purpose: event: a call to the store ended.
#ifndef FESCUEVANE_CELL_STORE_REPLY_HPP
#define FESCUEVANE_CELL_STORE_REPLY_HPP

#include "cell/store_outcome.hpp"
#include "cell/stored_row.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{

struct store_reply
{
    std::uint64_t const           request_ = 0;
    store_outcome const           outcome_ = store_outcome::unknown;
    revision const                revision_ = 0; // newest, of the whole store
    std::vector<stored_row> const rows_;  // read, or current ones of a conflict
    bool const        truncated_ = false; // more rows follow the last one
    std::string const error_;             // empty: none

    friend bool operator==(store_reply const&, store_reply const&) = default;
};

} // namespace fescuevane::cell

#endif
