// Purpose: an end that a target of the stand-in still lists.
#ifndef FESCUEVANE_TESTS_SOAK_ENDED_ROW_HPP
#define FESCUEVANE_TESTS_SOAK_ENDED_ROW_HPP

#include <cstdint>
#include <string>

namespace fescuevane::soak
{

struct ended_row
{
    std::int64_t const number_ = 0;
    std::string const  task_;
    std::int64_t const run_ = 0;
    std::string const  reason_;

    friend bool operator==(ended_row const&, ended_row const&) = default;
};

} // namespace fescuevane::soak

#endif
