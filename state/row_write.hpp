// Purpose: write of a commit.
#ifndef FESCUEVANE_STATE_ROW_WRITE_HPP
#define FESCUEVANE_STATE_ROW_WRITE_HPP

#include <string>

namespace fescuevane::state
{

struct row_write
{
    std::string const key_;
    std::string const value_;
    bool const        remove_ = false;

    friend bool operator==(row_write const&, row_write const&) = default;
};

} // namespace fescuevane::state

#endif
