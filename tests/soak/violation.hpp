// Purpose: one breach of a promise, with the part of the history that shows it.
#ifndef FESCUEVANE_TESTS_SOAK_VIOLATION_HPP
#define FESCUEVANE_TESTS_SOAK_VIOLATION_HPP

#include <string>
#include <vector>

namespace fescuevane::soak
{

struct violation
{
    std::string const              text_;
    std::vector<std::string> const lines_;

    friend bool operator==(violation const&, violation const&) = default;
};

} // namespace fescuevane::soak

#endif
