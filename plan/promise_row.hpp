// Purpose: row of a refused job whose caller was told when to come back.
#ifndef FESCUEVANE_PLAN_PROMISE_ROW_HPP
#define FESCUEVANE_PLAN_PROMISE_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::plan
{

struct promise_row
{
    queue_id     queue_;
    std::int64_t cpu_millis_ = 0; // that its first tasks need
    instant      refused_at_;     // first
    instant      return_at_;
    instant      lapses_at_;           // kept by a return before that
    bool         kept_ = false;        // came back, and was accepted
    bool         within_rate_ = false; // of its organisation

    friend bool operator==(promise_row const&, promise_row const&) = default;
};

} // namespace fescuevane::plan

#endif
