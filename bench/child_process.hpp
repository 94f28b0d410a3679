// Purpose: work that is measured in a process of its own.
#ifndef FESCUEVANE_BENCH_CHILD_PROCESS_HPP
#define FESCUEVANE_BENCH_CHILD_PROCESS_HPP

#include "bench/usage.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace fescuevane::bench
{

constexpr std::int64_t warm_up_micros = 1'500'000; // connections are opened
constexpr std::int64_t measured_micros = 10'000'000;

// Runs work in a new process. The parent must not have started threads.
class child_process
{
public:
    explicit child_process(std::function<usage()> const& work);
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    child_process(child_process&&) = default;

    usage wait(); // for the end; throws when the work failed

private:
    int pid_ = 0;
    int result_ = -1; // read end of a pipe
};

// Runs the main loop: first unmeasured, then measured. `calls` is read twice.
usage run_measured(std::uint64_t const& calls);

// Addresses on the loopback interface that nobody listens on.
std::vector<std::string> find_addresses(std::size_t count);
std::uint16_t            port_of(std::string const& address);

} // namespace fescuevane::bench

#endif
