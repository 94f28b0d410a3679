// Purpose: a process of the system as /proc shows it.
#ifndef FESCUEVANE_TESTS_DOORS_RUNNING_PROCESS_HPP
#define FESCUEVANE_TESTS_DOORS_RUNNING_PROCESS_HPP

#include <sys/types.h>
#include <cstddef>
#include <string>
#include <vector>

namespace fescuevane::doors
{

// Killed at the end of the object and of the test program.
class running_process
{
public:
    explicit running_process(std::vector<std::string> const& arguments);
    ~running_process();
    running_process(running_process const&) = delete;
    running_process& operator=(running_process const&) = delete;

    [[nodiscard]] bool        is_alive() const;
    [[nodiscard]] std::size_t resident_kib() const { return read("VmRSS:"); }
    [[nodiscard]] std::size_t most_resident_kib() const
    {
        return read("VmHWM:");
    }
    [[nodiscard]] std::size_t descriptors() const;

private:
    [[nodiscard]] std::size_t read(std::string const& field) const;

    pid_t const id_;
};

} // namespace fescuevane::doors

#endif
