// Purpose: row of a request to the policy service in flight.
#ifndef FESCUEVANE_CELL_ADVICE_REQUEST_ROW_HPP
#define FESCUEVANE_CELL_ADVICE_REQUEST_ROW_HPP

#include "core/ids.hpp"
#include "core/instant.hpp"
#include "core/shard_id.hpp"
#include "plan/advice_request.hpp"

#include <cstdint>
#include <memory>

namespace fescuevane::cell
{

struct advice_request_row
{
    shard_id                                    shard_;
    std::shared_ptr<plan::advice_request const> question_;
    instant                                     sent_;
    host_id      proxy_;      // host that queries the service
    std::int64_t micros_ = 0; // expected service time, without queueing
    // Expected wait for the earlier requests of the host, 0 without the pool.
    std::int64_t wait_micros_ = 0;
};

} // namespace fescuevane::cell

#endif
