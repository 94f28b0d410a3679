// Purpose: names one row of the store stand-in.
#ifndef FESCUEVANE_TESTS_SOAK_ROW_PLACE_HPP
#define FESCUEVANE_TESTS_SOAK_ROW_PLACE_HPP

#include <compare>
#include <string>

namespace fescuevane::soak
{

struct row_place
{
    std::string const table_;
    std::string const part_;
    std::string const key_;

    friend auto operator<=>(row_place const&, row_place const&) = default;
};

} // namespace fescuevane::soak

#endif
