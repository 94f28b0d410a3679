// Purpose: a span of a trace that has not ended.
#ifndef FESCUEVANE_ENTRY_OPEN_SPAN_HPP
#define FESCUEVANE_ENTRY_OPEN_SPAN_HPP

#include "core/instant.hpp"
#include "core/shard_id.hpp"

#include <string>

namespace fescuevane::entry
{

struct open_span
{
    std::string const parent_;
    std::string const traceparent_;
    instant const     start_;
    shard_id const    shard_; // where the job or task runs

    friend bool operator==(open_span const&, open_span const&) = default;
};

} // namespace fescuevane::entry

#endif
