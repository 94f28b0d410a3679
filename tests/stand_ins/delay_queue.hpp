// Purpose: bytes on their way through a relay, in order.
#ifndef FESCUEVANE_TESTS_STAND_INS_DELAY_QUEUE_HPP
#define FESCUEVANE_TESTS_STAND_INS_DELAY_QUEUE_HPP

#include "core/instant.hpp"

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

namespace fescuevane::stand_ins
{

// An empty chunk marks the end of the stream. A chunk never overtakes an
// earlier one, also when the delay was lowered in between.
class delay_queue
{
public:
    void push(std::string bytes, instant due);

    bool             empty() const { return chunks_.empty(); }
    std::size_t      size_bytes() const { return size_bytes_; }
    instant          next_due() const; // never when empty
    std::string_view front() const { return chunks_.front().second; }
    void             pop_front_bytes(std::size_t count); // whole: drops it

private:
    std::deque<std::pair<instant, std::string>> chunks_;
    std::size_t                                 size_bytes_ = 0;
};

} // namespace fescuevane::stand_ins

#endif
