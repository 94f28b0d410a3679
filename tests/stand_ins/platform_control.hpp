// Purpose: client of the platform stand-in's control.
#ifndef FESCUEVANE_TESTS_STAND_INS_PLATFORM_CONTROL_HPP
#define FESCUEVANE_TESTS_STAND_INS_PLATFORM_CONTROL_HPP

#include "tests/stand_ins/host.hpp"
#include "tests/stand_ins/platform_counters.hpp"
#include "tests/stand_ins/platform_faults.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace fescuevane::stand_ins
{

// Each call waits for the reply, at most 5 s, and throws control_error.
class platform_control
{
public:
    explicit platform_control(std::string const& address); // IP and port
    ~platform_control();

    void set_faults(platform_faults const& faults, std::uint64_t seed = 1);
    void put_host(host const& value);
    void remove_host(target_id const& target);
    void mark_leaving(std::vector<target_id> const& targets, bool leaving);
    void set_host_lag(std::uint32_t millis);
    platform_counters read_counters();

private:
    struct stub;
    std::unique_ptr<stub> stub_;
};

} // namespace fescuevane::stand_ins

#endif
