// Purpose: codec of the batches between owners and targets.
#ifndef FESCUEVANE_TESTS_STAND_INS_BATCH_CODEC_HPP
#define FESCUEVANE_TESTS_STAND_INS_BATCH_CODEC_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::v1
{
class OwnerBatch;
class TargetBatch;
} // namespace fescuevane::v1

namespace fescuevane::stand_ins
{

struct host;
struct owner_batch;
struct target_report;

// Throws wire::decode_error.
owner_batch decode_batch(v1::OwnerBatch const& message, host const& target,
                         std::uint64_t stream, instant now);
void encode_report(target_report const& value, host const& target, instant now,
                   v1::TargetBatch& message);

} // namespace fescuevane::stand_ins

#endif
