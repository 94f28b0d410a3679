// Purpose: division of a gang over several shards.
#include "cell/gang_shares.hpp"

#include "cell/gang_share.hpp"
#include "cell/shard_offer.hpp"

#include <algorithm>
#include <tuple>

namespace fescuevane::cell
{
namespace
{

// Tasks that a shard could run in addition to its share.
std::uint32_t compute_remaining(shard_offer const& offer,
                                gang_share const&  share)
{
    return std::max(offer.fit_later_, share.tasks_) - share.tasks_;
}

void assign_free_room(std::vector<shard_offer> const& offers,
                      std::vector<gang_share>& shares, std::uint32_t& missing)
{
    for (std::size_t row = 0; row < offers.size(); ++row)
    {
        shares[row].tasks_ = std::min(offers[row].fit_free_, missing);
        missing -= shares[row].tasks_;
    }
}

// Divides the tasks without free room in proportion to what each shard could
// still run.
void divide_later_room(std::vector<shard_offer> const& offers,
                       std::vector<gang_share>& shares, std::uint32_t missing)
{
    std::uint64_t total_remaining = 0;
    for (std::size_t row = 0; row < offers.size(); ++row)
    {
        total_remaining += compute_remaining(offers[row], shares[row]);
    }
    for (std::size_t row = 0; row < offers.size() && missing > 0; ++row)
    {
        std::uint64_t const capacity =
            compute_remaining(offers[row], shares[row]);
        // Rounded up, so that the last shards get no part rather than a small
        // one.
        auto const part = static_cast<std::uint32_t>(
            std::min(capacity, (missing * capacity + total_remaining - 1) /
                                   total_remaining));
        shares[row].tasks_ += part;
        missing -= part;
        total_remaining -= capacity;
    }
}

} // namespace

std::uint64_t sum_free(std::vector<shard_offer> const& offers)
{
    std::uint64_t sum = 0;
    for (shard_offer const& offer : offers)
    {
        sum += offer.fit_free_;
    }
    return sum;
}

std::uint64_t sum_later(std::vector<shard_offer> const& offers)
{
    std::uint64_t sum = 0;
    for (shard_offer const& offer : offers)
    {
        sum += std::max(offer.fit_free_, offer.fit_later_);
    }
    return sum;
}

std::vector<gang_share> divide_gang(std::vector<shard_offer> offers,
                                    std::uint32_t            count)
{
    if (sum_later(offers) < count)
    {
        return {};
    }
    std::sort(offers.begin(), offers.end(),
              [](shard_offer const& a, shard_offer const& b)
              {
                  return std::tuple(b.fit_free_, b.fit_later_, a.shard_) <
                         std::tuple(a.fit_free_, a.fit_later_, b.shard_);
              });
    std::vector<gang_share> shares;
    shares.reserve(offers.size());
    for (shard_offer const& offer : offers)
    {
        shares.push_back({offer.shard_, 0});
    }
    std::uint32_t missing = count;
    assign_free_room(offers, shares, missing);
    divide_later_room(offers, shares, missing);
    std::erase_if(shares,
                  [](gang_share const& share)
                  {
                      return share.tasks_ == 0;
                  });
    return shares;
}

std::optional<shard_id>
find_room_for_all(std::vector<shard_offer> const& offers, shard_id const& own,
                  std::uint32_t count)
{
    shard_offer const* best = nullptr;
    for (shard_offer const& offer : offers)
    {
        if (offer.fit_free_ < count)
        {
            continue;
        }
        if (offer.shard_ == own)
        {
            return std::nullopt;
        }
        if (best == nullptr || std::tuple(best->fit_later_, offer.shard_) <
                                   std::tuple(offer.fit_later_, best->shard_))
        {
            best = &offer;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->shard_);
}

} // namespace fescuevane::cell
