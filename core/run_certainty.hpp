// Purpose: what may be true of a run whose end nobody has read.
#ifndef FESCUEVANE_CORE_RUN_CERTAINTY_HPP
#define FESCUEVANE_CORE_RUN_CERTAINTY_HPP

#include <cstdint>

namespace fescuevane
{

enum class run_certainty : std::uint8_t
{
    may_run,        // a lease may go on
    may_have_ended, // no lease goes on, but the target may list an end
    settled         // nothing more is awaited
};

} // namespace fescuevane

#endif
