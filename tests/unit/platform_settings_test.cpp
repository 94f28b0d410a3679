// Purpose: tests of the settings that bound what clients may hold.
#include "platform/platform_error.hpp"
#include "platform/settings.hpp"
#include "platform/settings_file.hpp"

#include <doctest/doctest.h>

namespace fescuevane::platform
{
namespace
{

struct settings_fixture
{
    static settings parse(std::string const& lines)
    {
        return parse_settings("host: host-1\naddress: 127.0.0.1\n"
                              "failure_domain: a\nfailure_domains: [a]\n"
                              "front: 127.0.0.1:80\nready: 127.0.0.1:81\n"
                              "first_port: 90\ncpu_share: 1\n"
                              "store: 127.0.0.1:82\nmax_lease_ms: 10000\n"
                              "early_start_ms: 250\nremote_rack_factor: 3\n"
                              "stop_grace_s: 6\n" +
                                  lines,
                              1);
    }
};

} // namespace

// Guards against settings of earlier deployments that stop a process.
TEST_CASE_FIXTURE(settings_fixture,
                  "settings, without memory and descriptors, have the defaults")
{
    CHECK(parse("").budget_ == io::host_budget());
    CHECK(parse("memory_mb:\nmax_descriptors:\n").budget_ == io::host_budget());
    CHECK(parse("memory_mb: 64\nmax_descriptors: 400\n").budget_ ==
          io::host_budget{.memory_mb_ = 64, .max_descriptors_ = 400});
}

// Guards against limits that leave no place for callers.
TEST_CASE_FIXTURE(settings_fixture,
                  "settings, too few descriptors, are refused with the key")
{
    CHECK_THROWS_WITH_AS(parse("max_descriptors: 200\n"),
                         doctest::Contains("max_descriptors"), platform_error);
}

} // namespace fescuevane::platform
