// Purpose: log appender that never blocks and bounds the volume.
#include "io/bounded_appender.hpp"

#include "io/main_loop.hpp"

#include <poll.h>
#include <unistd.h>
#include <algorithm>
#include <string>

namespace fescuevane::io
{
namespace
{

constexpr double burst_seconds = 2;

bool is_writable(int descriptor)
{
    pollfd wanted{descriptor, POLLOUT, 0};
    return ::poll(&wanted, 1, 0) == 1 && (wanted.revents & POLLOUT) != 0;
}

} // namespace

bounded_appender::bounded_appender(int descriptor, std::uint32_t lines_a_second)
    : descriptor_(descriptor)
    , rate_(lines_a_second)
    , credit_(burst_seconds * lines_a_second)
    , refilled_at_(read_clock())
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::close()
{
    closed = true;
}

bool bounded_appender::take_credit()
{
    instant const now = read_clock();
    double const  seconds =
        static_cast<double>(refilled_at_.remaining_until(now)) /
        micros_per_second;
    refilled_at_ = now;
    credit_ = std::min(burst_seconds * rate_, credit_ + seconds * rate_);
    if (credit_ < 1)
    {
        return false;
    }
    credit_ -= 1;
    return true;
}

void bounded_appender::append(log4cplus::spi::InternalLoggingEvent const& event)
{
    if (!take_credit() || !is_writable(descriptor_))
    {
        ++dropped_;
        return;
    }
    std::string line = event.getMessage();
    if (dropped_ != told_ && !line.empty() && line.back() == '}')
    {
        line.back() = ',';
        line += "\"dropped\":" + std::to_string(dropped_ - told_) + "}";
        told_ = dropped_;
    }
    line += '\n';
    // A pipe that poll reports as writable takes a line of less than a page.
    constexpr std::size_t max_line = 4000;
    if (line.size() > max_line)
    {
        line.resize(max_line - 1);
        line += '\n';
    }
    if (::write(descriptor_, line.data(), line.size()) < 0)
    {
        ++dropped_;
    }
}

} // namespace fescuevane::io
