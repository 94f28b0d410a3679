// Purpose: one breach of an invariant.
#ifndef FESCUEVANE_TESTS_PROVE_VIOLATION_HPP
#define FESCUEVANE_TESTS_PROVE_VIOLATION_HPP

#include <string>
#include <vector>

namespace fescuevane::prove
{

struct violation
{
    std::string const              text_;
    std::vector<std::string> const lines_; // of the history

    friend bool operator==(violation const&, violation const&) = default;
};

} // namespace fescuevane::prove

#endif
