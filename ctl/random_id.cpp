// Purpose: random identifiers of jobs and traces.
#include "ctl/random_id.hpp"

#include <random>

namespace fescuevane::ctl
{

std::string make_random_hex(std::size_t bytes)
{
    static std::random_device          device;
    std::uniform_int_distribution<int> digits(0, 15);
    std::string                        text;
    for (std::size_t i = 0; i < 2 * bytes; ++i)
    {
        text += "0123456789abcdef"[digits(device)];
    }
    return text;
}

std::string make_job_id()
{
    return "ctl-" + make_random_hex(8);
}

} // namespace fescuevane::ctl
