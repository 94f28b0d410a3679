// Purpose: row of a question to the policy service in flight.
#ifndef FESCUEVANE_CELL_QUESTION_ROW_HPP
#define FESCUEVANE_CELL_QUESTION_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"
#include "plan/advice_request.hpp"

#include <cstdint>
#include <memory>

namespace fescuevane::cell
{

struct question_row
{
    shard_id                                    shard_;
    std::shared_ptr<plan::advice_request const> question_;
    instant                                     sent_;
    host_id                                     asker_; // host that asks
    std::int64_t micros_ = 0; // expected time of the answer, without waiting
};

} // namespace fescuevane::cell

#endif
