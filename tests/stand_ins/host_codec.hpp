// Purpose: codec of listed hosts.
#ifndef FESCUEVANE_TESTS_STAND_INS_HOST_CODEC_HPP
#define FESCUEVANE_TESTS_STAND_INS_HOST_CODEC_HPP

namespace platform::v1
{
class Host;
} // namespace platform::v1

namespace fescuevane::stand_ins
{

struct host;

void encode_host(host const& value, platform::v1::Host& message);
host decode_host(platform::v1::Host const& message);

} // namespace fescuevane::stand_ins

#endif
