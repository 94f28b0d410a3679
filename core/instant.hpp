// Purpose: points in time, the only form in which timers are stored.
#ifndef FESCUEVANE_CORE_INSTANT_HPP
#define FESCUEVANE_CORE_INSTANT_HPP

#include <compare>
#include <cstdint>
#include <limits>

namespace fescuevane
{

// A point on one process's monotonic clock, in microseconds. Instants of two
// processes can't be compared: messages carry the remaining time instead.
class instant
{
public:
    constexpr instant() = default;
    constexpr explicit instant(std::int64_t micros) : micros_(micros) {}

    // Later than every other instant: "no deadline".
    static constexpr instant never()
    {
        return instant(std::numeric_limits<std::int64_t>::max());
    }

    constexpr std::int64_t micros() const { return micros_; }

    // The deadline `micros` after this instant. `never()` stays `never()`.
    constexpr instant after(std::int64_t micros) const
    {
        std::int64_t const room = never().micros_ - micros_;
        return micros >= room ? never() : instant(micros_ + micros);
    }

    // Microseconds until `deadline`, 0 when it has passed.
    constexpr std::int64_t remaining_until(instant deadline) const
    {
        return deadline.micros_ > micros_ ? deadline.micros_ - micros_ : 0;
    }

    friend constexpr auto operator<=>(instant, instant) = default;

private:
    std::int64_t micros_ = 0;
};

constexpr std::int64_t micros_per_milli = 1000;
constexpr std::int64_t micros_per_second = 1000 * micros_per_milli;

} // namespace fescuevane

#endif
