// Purpose: the platform context as the gRPC services share it.
#ifndef FESCUEVANE_TESTS_STAND_INS_SHARED_PLATFORM_HPP
#define FESCUEVANE_TESTS_STAND_INS_SHARED_PLATFORM_HPP

#include "tests/stand_ins/platform_context.hpp"

#include <mutex>

namespace fescuevane::stand_ins
{

struct shared_platform
{
    std::mutex       mutex_; // guards the context
    platform_context context_;
};

} // namespace fescuevane::stand_ins

#endif
