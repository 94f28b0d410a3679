// Purpose: command: read rows of one part of a table.
#ifndef FESCUEVANE_CELL_STORE_READ_HPP
#define FESCUEVANE_CELL_STORE_READ_HPP

#include "core/instant.hpp"

#include <cstdint>
#include <string>

namespace fescuevane::cell
{

struct store_read
{
    std::uint64_t const request_ = 0;
    std::string const   table_;
    std::string const   part_;
    std::string const   from_;      // first key, empty: from the start
    std::string const   to_;        // key after the last one, empty: to the end
    std::uint32_t const limit_ = 0; // most rows, 0: as many as the store gives
    instant const       deadline_;

    friend bool operator==(store_read const&, store_read const&) = default;
};

} // namespace fescuevane::cell

#endif
