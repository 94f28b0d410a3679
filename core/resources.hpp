// Purpose: amounts of processors, memory and accelerators.
#ifndef FESCUEVANE_CORE_RESOURCES_HPP
#define FESCUEVANE_CORE_RESOURCES_HPP

#include <algorithm>
#include <cstdint>

namespace fescuevane
{

// Amounts of the three resource kinds. Units: 1/1000 core, MiB, devices.
// Equality compares all three; the order of two amounts is partial, so it is
// asked with `fits_in`.
class resources
{
public:
    constexpr resources() = default;
    constexpr resources(std::int64_t cpu_millis, std::int64_t memory_mib,
                        std::int64_t accelerators)
        : cpu_millis_(cpu_millis)
        , memory_mib_(memory_mib)
        , accelerators_(accelerators)
    {
    }

    constexpr std::int64_t cpu_millis() const { return cpu_millis_; }
    constexpr std::int64_t memory_mib() const { return memory_mib_; }
    constexpr std::int64_t accelerators() const { return accelerators_; }

    constexpr bool fits_in(resources const& room) const
    {
        return cpu_millis_ <= room.cpu_millis_ &&
               memory_mib_ <= room.memory_mib_ &&
               accelerators_ <= room.accelerators_;
    }

    constexpr bool is_zero() const { return *this == resources(); }

    constexpr bool has_negative() const
    {
        return cpu_millis_ < 0 || memory_mib_ < 0 || accelerators_ < 0;
    }

    friend constexpr resources operator+(resources const& a, resources const& b)
    {
        return {a.cpu_millis_ + b.cpu_millis_, a.memory_mib_ + b.memory_mib_,
                a.accelerators_ + b.accelerators_};
    }

    friend constexpr resources operator-(resources const& a, resources const& b)
    {
        return {a.cpu_millis_ - b.cpu_millis_, a.memory_mib_ - b.memory_mib_,
                a.accelerators_ - b.accelerators_};
    }

    friend constexpr resources operator*(resources const& a, std::int64_t n)
    {
        return {a.cpu_millis_ * n, a.memory_mib_ * n, a.accelerators_ * n};
    }

    // Component-wise smaller and larger of two amounts.
    friend constexpr resources min(resources const& a, resources const& b)
    {
        return {std::min(a.cpu_millis_, b.cpu_millis_),
                std::min(a.memory_mib_, b.memory_mib_),
                std::min(a.accelerators_, b.accelerators_)};
    }

    friend constexpr resources max(resources const& a, resources const& b)
    {
        return {std::max(a.cpu_millis_, b.cpu_millis_),
                std::max(a.memory_mib_, b.memory_mib_),
                std::max(a.accelerators_, b.accelerators_)};
    }

    friend constexpr bool operator==(resources const&,
                                     resources const&) = default;

private:
    std::int64_t cpu_millis_ = 0;
    std::int64_t memory_mib_ = 0;
    std::int64_t accelerators_ = 0;
};

} // namespace fescuevane

#endif
