// Purpose: one entry of the store stand-in's history of rows.
#ifndef FESCUEVANE_TESTS_SOAK_ROW_CHANGE_HPP
#define FESCUEVANE_TESTS_SOAK_ROW_CHANGE_HPP

#include "tests/soak/row_place.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace fescuevane::soak
{

struct row_change
{
    row_place const                  place_;
    std::int64_t const               version_ = 0;
    std::optional<std::string> const value_; // base64; none: removed

    friend bool operator==(row_change const&, row_change const&) = default;
};

} // namespace fescuevane::soak

#endif
