// Purpose: log appender that never blocks and bounds the volume.
#ifndef FESCUEVANE_IO_BOUNDED_APPENDER_HPP
#define FESCUEVANE_IO_BOUNDED_APPENDER_HPP

#include "core/instant.hpp"

#include <log4cplus/appender.h>
#include <log4cplus/spi/loggingevent.h>
#include <cstdint>

namespace fescuevane::io
{

// Writes lines to a descriptor. A line that finds the reader slow, or the rate
// of lines used up, is dropped and counted; the next line that is written
// carries the count.
class bounded_appender : public log4cplus::Appender
{
public:
    bounded_appender(int descriptor, std::uint32_t lines_a_second);
    ~bounded_appender() override;

    void          close() override;
    std::uint64_t dropped() const { return dropped_; }

protected:
    void append(log4cplus::spi::InternalLoggingEvent const& event) override;

private:
    bool take_credit();

    int const           descriptor_;
    std::uint32_t const rate_;
    double              credit_;
    instant             refilled_at_;
    std::uint64_t       dropped_ = 0;
    std::uint64_t       told_ = 0; // of the dropped ones
};

} // namespace fescuevane::io

#endif
