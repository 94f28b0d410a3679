// Purpose: reasons of refusals that callers of the package act on.
#ifndef FESCUEVANE_DECIDE_REASONS_HPP
#define FESCUEVANE_DECIDE_REASONS_HPP

namespace fescuevane::decide
{

// The job has to be passed to a shard of another failure domain.
constexpr char const* reason_domain_out = "failure domain out of service";

// The id belongs to another job; asking again with the same content never
// succeeds.
constexpr char const* reason_other_content =
    "conflicting content for a known id";

constexpr char const* reason_canceled = "canceled";

} // namespace fescuevane::decide

#endif
