// Purpose: one read of the accepted ticket number of a process.
#ifndef FESCUEVANE_TESTS_PROVE_CONFIG_READ_HPP
#define FESCUEVANE_TESTS_PROVE_CONFIG_READ_HPP

#include <cstdint>
#include <string>

namespace fescuevane::prove
{

struct config_read
{
    std::int64_t const began_ = 0;
    std::int64_t const ended_ = 0;
    std::string const  entry_;
    std::int64_t const incarnation_ = 0;
    std::int64_t const accepted_ = 0;

    friend bool operator==(config_read const&, config_read const&) = default;
};

} // namespace fescuevane::prove

#endif
