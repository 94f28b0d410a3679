// Purpose: main function of a program that ends by a fatal signal.
#include "io/fatal_signals.hpp"

#include <sys/resource.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string_view>
#include <thread>

namespace
{

[[gnu::noinline]] void write_to_null()
{
    int volatile* const volatile place = nullptr;
    *place = 1;
}

[[gnu::noinline]] int overflow_stack(int depth)
{
    std::array<char volatile, 4096> room{};
    if (depth < 0)
    {
        return 0;
    }
    room[static_cast<std::size_t>(depth) % room.size()] = 1;
    return overflow_stack(depth + 1) + room[0];
}

void write_in_thread()
{
    std::thread(&write_to_null).join();
}

struct fault_kind
{
    std::string_view name_;
    void (*run_)();
};

constexpr std::array<fault_kind, 4> kinds = {{
    {"null", &write_to_null},
    {"thread", &write_in_thread},
    {"overflow",
     []
     {
         overflow_stack(0);
     }},
    {"abort", &std::abort},
}};

} // namespace

int main(int count, char** words)
{
    constexpr int exit_usage = 2;
    // A machine that keeps cores of processes would keep one of each test.
    rlimit const no_core = {};
    setrlimit(RLIMIT_CORE, &no_core);
    fescuevane::io::write_stack_on_fatal_signals();
    for (fault_kind const& kind : kinds)
    {
        if (count == 2 && kind.name_ == words[1])
        {
            kind.run_();
        }
    }
    std::cerr << "usage: fault null|thread|overflow|abort\n";
    return exit_usage;
}
