// Purpose: event: a request to the policy service ended.
#ifndef FESCUEVANE_CELL_ADVICE_REPLY_HPP
#define FESCUEVANE_CELL_ADVICE_REPLY_HPP

#include "plan/target_ticket.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuevane::cell
{

struct advice_reply
{
    std::uint64_t const                    request_ = 0;
    bool const                             answered_ = false;
    std::vector<plan::target_ticket> const good_;
    std::string const                      error_;

    friend bool operator==(advice_reply const&, advice_reply const&) = default;
};

} // namespace fescuevane::cell

#endif
