// Purpose: decides which host sends a request to the policy service, and which
// requests a host sends next. The service handles the requests of one host in
// sequence. Internal to the package.
#ifndef FESCUEVANE_CELL_ORDER_QUESTIONS_HPP
#define FESCUEVANE_CELL_ORDER_QUESTIONS_HPP

#include "cell/asker.hpp"
#include "cell/pooled_question.hpp"

#include <cstddef>
#include <span>
#include <vector>

namespace fescuevane::cell
{

// The one with the earliest expected reply, of equal ones the first. `askers`
// isn't empty.
asker const& choose_asker(std::span<asker const> askers);

// Positions of the requests to send now, out of all that a host has in the
// order of their arrival. Short requests precede long ones, except overdue
// ones: a steady stream of short requests would hold them back without end. A
// long one is sent only when no other is in flight: once sent, its order can't
// change any more, and later short requests would wait for it.
std::vector<std::size_t>
choose_sendable(std::span<pooled_question const> questions);

} // namespace fescuevane::cell

#endif
