// Purpose: processor time of heartbeats and calls between hosts, each in a
// process of its own on the loopback interface.
#include "bench/child_process.hpp"
#include "bench/measure.hpp"

#include "cell/advice_reply.hpp"
#include "cell/heartbeat.hpp"
#include "cell/job_answer.hpp"
#include "cell/job_call.hpp"
#include "cell/send_question.hpp"
#include "io/main_loop.hpp"
#include "io/peer_limits.hpp"
#include "io/timer.hpp"
#include "peer/peer_link.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t deadline_micros = 1'000'000;
constexpr std::int64_t beat_interval_micros = 300'000; // as a cell's default
constexpr std::int64_t call_interval_micros = 5'000;
constexpr std::size_t  owners = 3;
constexpr std::size_t  domain_hosts = 12; // without the host itself

enum class traffic : std::uint8_t
{
    none,
    beats,
    calls,
    questions
};

// A heartbeat like that of an owner of the grown deployments.
cell::heartbeat make_beat(std::size_t host, bool owner)
{
    constexpr std::size_t queues = 6;
    constexpr std::size_t organisations = 12;
    cell::heartbeat       beat{.host_ = host_id("host-" + std::to_string(host)),
                               .incarnation_ = 1};
    if (!owner)
    {
        return beat;
    }
    cell::shard_load shard{
        .shard_ = {domain_id("east"), 0}, .epoch_ = 3, .serving_ = true};
    shard.load_.capacity_ = {400'000, 800'000, 0};
    shard.load_.used_ = {200'000, 400'000, 0};
    for (std::size_t row = 0; row < queues; ++row)
    {
        shard.load_.queues_.push_back(
            {queue_id("queue-" + std::to_string(row)), 12});
    }
    for (std::size_t row = 0; row < organisations; ++row)
    {
        shard.load_.organisations_.push_back(
            {organisation_id("organisation-" + std::to_string(row)),
             {20'000, 40'000, 0},
             {1'000, 2'000, 0}});
    }
    beat.shards_.push_back(shard);
    return beat;
}

// One host: owners send to all others, callers to the next host.
class host_process
{
public:
    host_process(std::vector<std::string> const& addresses, std::size_t self,
                 traffic kind)
        : addresses_(addresses)
        , self_(self)
        , kind_(kind)
        , beat_(make_beat(self, self < owners))
        , send_(
              [this]
              {
                  send();
              })
    {
        link_.emplace(
            addresses[self], io::peer_limits{},
            peer::peer_handlers{
                .beat_ = [](cell::heartbeat const&) {},
                .answer_beat_ =
                    [this]
                {
                    ++answered_;
                    return beat_;
                },
                .called_ =
                    [this](std::uint64_t call, cell::job_call const&)
                {
                    link_->reply(call,
                                 {.outcome_ = cell::job_outcome::uncertain});
                },
                .replied_ =
                    [this](std::uint64_t, cell::job_answer const&)
                {
                    ++replies_;
                },
                .asked_ =
                    [this](std::uint64_t call, cell::send_question const&)
                {
                    link_->advise(call, {.answered_ = true});
                },
                .advised_ =
                    [this](cell::advice_reply const&)
                {
                    ++replies_;
                }});
    }

    usage run()
    {
        // Hosts start their rounds at different moments.
        send_.arm(io::read_clock().after(static_cast<std::int64_t>(self_) *
                                         beat_interval_micros / 40));
        usage const used =
            run_measured(kind_ == traffic::beats ? answered_ : replies_);
        return used;
    }

private:
    void send()
    {
        instant const      now = io::read_clock();
        std::string const& next = addresses_[(self_ + 1) % addresses_.size()];
        switch (kind_)
        {
        case traffic::none: // connections to a failure domain, then nothing
            for (std::size_t step = 1;
                 step <= std::min(domain_hosts, addresses_.size() - 1); ++step)
            {
                link_->beat(addresses_[(self_ + step) % addresses_.size()],
                            beat_, now.after(deadline_micros));
            }
            return;
        case traffic::beats:
            for (std::size_t host = 0; host < addresses_.size(); ++host)
            {
                if (self_ < owners && host != self_)
                {
                    link_->beat(addresses_[host], beat_,
                                now.after(deadline_micros));
                }
            }
            break;
        case traffic::calls:
            link_->call(++last_, next,
                        {.kind_ = cell::call_kind::lookup,
                         .id_ = job_id("5c0e7a21d94b36f8"),
                         .shard_ = {domain_id("east"), 0},
                         .deadline_ = now.after(deadline_micros)});
            break;
        case traffic::questions:
            link_->ask(
                {.request_ = ++last_,
                 .question_ = {.stage_ = {job_id("5c0e7a21d94b36f8"), 0, 1},
                               .targets_ = {target_id("target-1"),
                                            target_id("target-2"),
                                            target_id("target-3")}},
                 .address_ = next,
                 .deadline_ = now.after(deadline_micros)});
            break;
        }
        send_.arm(now.after(kind_ == traffic::beats ? beat_interval_micros
                                                    : call_interval_micros));
    }

    std::vector<std::string> const addresses_;
    std::size_t const              self_;
    traffic const                  kind_;
    cell::heartbeat const          beat_;
    io::timer                      send_;
    std::optional<peer::peer_link> link_;
    std::uint64_t                  answered_ = 0;
    std::uint64_t                  replies_ = 0;
    std::uint64_t                  last_ = 0;
};

void measure_traffic(std::size_t hosts, traffic kind, std::string const& name,
                     std::vector<figure>& output)
{
    auto const                 addresses = find_addresses(hosts);
    std::vector<child_process> children;
    for (std::size_t self = 0; self < hosts; ++self)
    {
        children.emplace_back(
            [&addresses, self, kind]
            {
                return host_process(addresses, self, kind).run();
            });
    }
    usage all;
    for (child_process& own : children)
    {
        usage const used = own.wait();
        all.cpu_micros_ += used.cpu_micros_;
        all.switches_ += used.switches_;
        all.calls_ += used.calls_;
    }
    std::string const setting = std::to_string(hosts) + " hosts";
    if (kind == traffic::none)
    {
        double const host_seconds = static_cast<double>(hosts) *
                                    static_cast<double>(measured_micros) /
                                    micros_per_second;
        output.push_back({"peers", setting, name + " of a host, us/s",
                          all.cpu_micros_ / host_seconds});
        output.push_back({"peers", setting, name + " of a host, wake-ups/s",
                          all.switches_ / host_seconds});
        return;
    }
    auto const calls = static_cast<double>(all.calls_);
    output.push_back(
        {"peers", setting, name + ", us both sides", all.cpu_micros_ / calls});
    output.push_back({"peers", setting, name + ", wake-ups both sides",
                      all.switches_ / calls});
}

} // namespace

void measure_peers(std::uint64_t /*seed*/, std::vector<figure>& output)
{
    for (std::size_t const hosts : {3, 13, 40})
    {
        measure_traffic(hosts, traffic::none, "rest", output);
        measure_traffic(hosts, traffic::beats, "heartbeat", output);
    }
    measure_traffic(3, traffic::calls, "routed call", output);
    measure_traffic(3, traffic::questions, "question", output);
}

} // namespace fescuevane::bench
