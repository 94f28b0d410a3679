// Purpose: one timer with microsecond resolution.
#include "tests/stand_ins/micro_timer.hpp"

#include <sys/timerfd.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <utility>

namespace fescuevane::stand_ins
{
namespace
{

void drain(int file)
{
    std::uint64_t               expirations = 0;
    [[maybe_unused]] auto const got =
        ::read(file, &expirations, sizeof expirations);
}

} // namespace

micro_timer::micro_timer(std::function<void()> run)
    : file_(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    if (file_ < 0)
    {
        throw std::runtime_error("can't create a timer");
    }
    source_.watch_file(file_,
                       [file = file_, run = std::move(run)]
                       {
                           drain(file);
                           run();
                       });
}

micro_timer::~micro_timer()
{
    source_.reset();
    ::close(file_);
}

void micro_timer::arm(instant due)
{
    itimerspec time{};
    if (due != instant::never())
    {
        time.it_value.tv_sec = due.micros() / micros_per_second;
        time.it_value.tv_nsec = due.micros() % micros_per_second * 1000;
    }
    timerfd_settime(file_, TFD_TIMER_ABSTIME, &time, nullptr);
}

} // namespace fescuevane::stand_ins
