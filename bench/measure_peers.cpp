// Purpose: processor time of traffic between hosts and of HTTP calls, each host
// in a process of its own on the loopback interface.
//
// Index of sections
//   1. Processes
//   2. Hosts
//   3. HTTP
//   4. Measures
#include "bench/measure.hpp"

#include "cell/advice_reply.hpp"
#include "cell/heartbeat.hpp"
#include "cell/job_answer.hpp"
#include "cell/job_call.hpp"
#include "cell/send_question.hpp"
#include "io/http_client.hpp"
#include "io/http_request.hpp"
#include "io/http_response.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"
#include "peer/peer_link.hpp"

#include <arpa/inet.h>
#include <libsoup/soup.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <algorithm>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

namespace fescuevane::bench
{
namespace
{

constexpr std::int64_t warm_micros = 1'500'000; // connections are opened
constexpr std::int64_t run_micros = 4'000'000;
constexpr std::int64_t deadline_micros = 1'000'000;
constexpr std::int64_t beat_interval_micros = 300'000; // as a cell's default
constexpr std::int64_t call_interval_micros = 5'000;
constexpr std::size_t  owners = 3;
constexpr std::size_t  domain_hosts = 12; // without the host itself

// 1. Processes

// What one process used while it was measured.
struct usage
{
    double        cpu_micros_ = 0;
    double        switches_ = 0; // voluntary context switches: wake-ups
    std::uint64_t calls_ = 0;    // answered ones of its own
};

std::int64_t to_micros(timeval const& time)
{
    return time.tv_sec * micros_per_second + time.tv_usec;
}

usage read_usage(std::uint64_t calls)
{
    rusage now{};
    getrusage(RUSAGE_SELF, &now);
    return {
        static_cast<double>(to_micros(now.ru_utime) + to_micros(now.ru_stime)),
        static_cast<double>(now.ru_nvcsw), calls};
}

// Runs the main loop: first unmeasured, then measured.
usage run_measured(GMainLoop* loop, std::uint64_t const& calls)
{
    usage     before;
    usage     after;
    bool      warm = false;
    io::timer phase(
        [&]
        {
            if (warm)
            {
                after = read_usage(calls);
                g_main_loop_quit(loop);
                return;
            }
            warm = true;
            before = read_usage(calls);
            phase.arm(io::read_clock().after(run_micros));
        });
    phase.arm(io::read_clock().after(warm_micros));
    g_main_loop_run(loop);
    return {after.cpu_micros_ - before.cpu_micros_,
            after.switches_ - before.switches_, after.calls_ - before.calls_};
}

struct child
{
    pid_t pid_ = 0;
    int   result_ = -1; // read end of a pipe
};

// The work runs in a new process, which has no threads yet.
child start_child(std::function<usage()> const& work)
{
    int ends[2];
    if (pipe(ends) != 0)
    {
        throw std::runtime_error("no pipe");
    }
    pid_t const pid = fork();
    if (pid < 0)
    {
        throw std::runtime_error("no process");
    }
    if (pid == 0)
    {
        close(ends[0]);
        int status = 1;
        try
        {
            usage const result = work();
            status =
                write(ends[1], &result, sizeof result) == sizeof result ? 0 : 1;
        }
        catch (std::exception const& error)
        {
            g_printerr("%s\n", error.what());
        }
        _exit(status);
    }
    close(ends[1]);
    return {pid, ends[0]};
}

usage end_child(child const& own)
{
    usage      result;
    bool const whole =
        read(own.result_, &result, sizeof result) == sizeof result;
    close(own.result_);
    waitpid(own.pid_, nullptr, 0);
    if (!whole)
    {
        throw std::runtime_error("a measured process failed");
    }
    return result;
}

// Addresses on the loopback interface that nobody listens on.
std::vector<std::string> find_addresses(std::size_t count)
{
    std::vector<std::string> addresses;
    std::vector<int>         open;
    for (std::size_t row = 0; row < count; ++row)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        int const own = socket(AF_INET, SOCK_STREAM, 0);
        if (bind(own, reinterpret_cast<sockaddr*>(&address), size) != 0)
        {
            throw std::runtime_error("no free port");
        }
        getsockname(own, reinterpret_cast<sockaddr*>(&address), &size);
        open.push_back(own);
        addresses.push_back("127.0.0.1:" +
                            std::to_string(ntohs(address.sin_port)));
    }
    for (int const own : open)
    {
        close(own);
    }
    return addresses;
}

// 2. Hosts

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
            addresses[self],
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
        GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
        usage const      used =
            run_measured(loop, kind_ == traffic::beats ? answered_ : replies_);
        g_main_loop_unref(loop);
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
    auto const         addresses = find_addresses(hosts);
    std::vector<child> children;
    for (std::size_t self = 0; self < hosts; ++self)
    {
        children.push_back(start_child(
            [&addresses, self, kind]
            {
                return host_process(addresses, self, kind).run();
            }));
    }
    usage all;
    for (child const& own : children)
    {
        usage const used = end_child(own);
        all.cpu_micros_ += used.cpu_micros_;
        all.switches_ += used.switches_;
        all.calls_ += used.calls_;
    }
    std::string const setting = std::to_string(hosts) + " hosts";
    if (kind == traffic::none)
    {
        double const host_seconds = static_cast<double>(hosts) *
                                    static_cast<double>(run_micros) /
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

// 3. HTTP

constexpr std::int64_t http_interval_micros = 2'000;

void answer_http(SoupServer* /*server*/, SoupServerMessage* message,
                 char const* /*path*/, GHashTable* /*query*/, void* /*data*/)
{
    static constexpr char body[] =
        R"({"clockMs":482113,"running":[],"terminated":[]})";
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_STATIC, body, sizeof body - 1);
}

usage serve_http(std::vector<std::string> const& addresses)
{
    SoupServer* const server = soup_server_new(nullptr, nullptr);
    soup_server_add_handler(server, nullptr, &answer_http, nullptr, nullptr);
    for (std::string const& address : addresses)
    {
        auto const port = static_cast<guint>(
            std::stoul(address.substr(address.find(':') + 1)));
        soup_server_listen_local(server, port, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                 nullptr);
    }
    GMainLoop* const    loop = g_main_loop_new(nullptr, FALSE);
    std::uint64_t const calls = 0;
    return run_measured(loop, calls);
}

usage call_http(std::vector<std::string> const& addresses)
{
    io::http_client client(1);
    std::uint64_t   answered = 0;
    std::size_t     next = 0;
    io::timer       send(
        [&]
        {
            client.send(
                      {.method_ = "POST",
                       .address_ = addresses[next++ % addresses.size()],
                       .path_ = "/hold",
                       .headers_ = {{"X-Fescuevane-Expected-Instance", "target-1"}},
                       .body_ = R"({"deadlineMs":486000,"fence":7,"waitMs":1000})",
                       .deadline_ = io::read_clock().after(deadline_micros)},
                      [&answered](io::http_response const& response)
                      {
                    answered += response.status_ == SOUP_STATUS_OK ? 1 : 0;
                });
            send.arm(io::read_clock().after(http_interval_micros));
        });
    // The servers listen by then.
    send.arm(io::read_clock().after(warm_micros / 4));
    GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
    return run_measured(loop, answered);
}

} // namespace

// 4. Measures

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

void measure_http(std::uint64_t /*seed*/, std::vector<figure>& output)
{
    for (std::size_t const servers :
         {1, 16, 120}) // a store, targets of a shard
    {
        auto const  addresses = find_addresses(servers);
        child const server = start_child(
            [&addresses]
            {
                return serve_http(addresses);
            });
        child const client = start_child(
            [&addresses]
            {
                return call_http(addresses);
            });
        usage const used = end_child(client);
        end_child(server);
        std::string const setting = std::to_string(servers) + " addresses";
        output.push_back({"http", setting, "call, us of client",
                          used.cpu_micros_ / static_cast<double>(used.calls_)});
        output.push_back({"http", setting, "call, wake-ups of client",
                          used.switches_ / static_cast<double>(used.calls_)});
    }
}

} // namespace fescuevane::bench
