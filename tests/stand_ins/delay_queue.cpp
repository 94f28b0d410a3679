// Purpose: bytes on their way through a relay.
#include "tests/stand_ins/delay_queue.hpp"

#include <algorithm>
#include <cassert>

namespace fescuevane::stand_ins
{

void delay_queue::push(std::string bytes, instant due)
{
    if (!chunks_.empty())
    {
        due = std::max(due, chunks_.back().first);
    }
    size_bytes_ += bytes.size();
    chunks_.emplace_back(due, std::move(bytes));
}

instant delay_queue::next_due() const
{
    return chunks_.empty() ? instant::never() : chunks_.front().first;
}

void delay_queue::pop_front_bytes(std::size_t count)
{
    std::string& bytes = chunks_.front().second;
    assert(count <= bytes.size());
    size_bytes_ -= count;
    if (count == bytes.size())
    {
        chunks_.pop_front();
    }
    else
    {
        bytes.erase(0, count);
    }
}

} // namespace fescuevane::stand_ins
