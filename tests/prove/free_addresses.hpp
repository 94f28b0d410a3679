// Purpose: addresses for the processes of a cell under test.
#ifndef FESCUEVANE_TESTS_PROVE_FREE_ADDRESSES_HPP
#define FESCUEVANE_TESTS_PROVE_FREE_ADDRESSES_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace fescuevane::prove
{

// Loopback addresses, IP:port, whose ports nobody listens on. A port is given
// once in a process, and lies below those that the system gives to outgoing
// connections, so that it stays free until it is bound. Throws
// std::runtime_error when there are too few.
std::vector<std::string> find_addresses(std::size_t count);

} // namespace fescuevane::prove

#endif
