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

// What a shard could run beside its share.
std::uint32_t find_rest(shard_offer const& offer, gang_share const& share)
{
    return std::max(offer.fit_later_, share.tasks_) - share.tasks_;
}

void share_free_room(std::vector<shard_offer> const& offers,
                     std::vector<gang_share>& shares, std::uint32_t& missing)
{
    for (std::size_t row = 0; row < offers.size(); ++row)
    {
        shares[row].tasks_ = std::min(offers[row].fit_free_, missing);
        missing -= shares[row].tasks_;
    }
}

// Divides the tasks that lack room by what each shard could still run.
void share_later_room(std::vector<shard_offer> const& offers,
                      std::vector<gang_share>& shares, std::uint32_t missing)
{
    std::uint64_t rest = 0;
    for (std::size_t row = 0; row < offers.size(); ++row)
    {
        rest += find_rest(offers[row], shares[row]);
    }
    for (std::size_t row = 0; row < offers.size() && missing > 0; ++row)
    {
        std::uint64_t const could = find_rest(offers[row], shares[row]);
        // Rounded up, so that the last shards are left out rather than short.
        auto const part = static_cast<std::uint32_t>(
            std::min(could, (missing * could + rest - 1) / rest));
        shares[row].tasks_ += part;
        missing -= part;
        rest -= could;
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
    share_free_room(offers, shares, missing);
    share_later_room(offers, shares, missing);
    std::erase_if(shares,
                  [](gang_share const& share)
                  {
                      return share.tasks_ == 0;
                  });
    return shares;
}

} // namespace fescuevane::cell
