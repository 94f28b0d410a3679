// Purpose: codec of listed hosts.
#include "tests/stand_ins/host_codec.hpp"

#include "tests/stand_ins/host.hpp"

#include <platform.pb.h>

namespace fescuevane::stand_ins
{

void encode_host(host const& value, platform::v1::Host& message)
{
    message.set_target(value.target_.str());
    message.set_address(value.address_);
    message.set_failure_domain(value.domain_.str());
    message.set_rack(value.rack_.str());
    message.set_state(value.leaving_ ? platform::v1::HOST_LEAVING
                                     : platform::v1::HOST_LIVE);
    message.set_cpu_millis(value.capacity_.cpu_millis());
    message.set_memory_mib(value.capacity_.memory_mib());
    message.set_accelerators(value.capacity_.accelerators());
    message.set_slots(value.slots_);
}

host decode_host(platform::v1::Host const& message)
{
    return {.target_ = target_id(message.target()),
            .address_ = message.address(),
            .listen_ = message.address(),
            .domain_ = domain_id(message.failure_domain()),
            .rack_ = rack_id(message.rack()),
            .capacity_ = {message.cpu_millis(), message.memory_mib(),
                          message.accelerators()},
            .slots_ = message.slots(),
            .leaving_ = message.state() == platform::v1::HOST_LEAVING};
}

} // namespace fescuevane::stand_ins
