// Purpose: row of a request that this host sends to the policy service, for
// itself or for another host.
#ifndef FESCUEVANE_CELL_HELD_QUESTION_ROW_HPP
#define FESCUEVANE_CELL_HELD_QUESTION_ROW_HPP

#include "cell/send_question.hpp"
#include "core/instant.hpp"

#include <cstdint>
#include <memory>

namespace fescuevane::cell
{

struct held_question_row
{
    std::uint64_t call_ = 0; // of the requesting host, 0: this host
    std::shared_ptr<send_question const> question_;
    instant                              held_at_; // since when
    instant ends_at_ = instant::never(); // expected reply, never: not sent
};

} // namespace fescuevane::cell

#endif
