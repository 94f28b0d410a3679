// Purpose: work that is measured in a process of its own.
#include "bench/child_process.hpp"

#include "core/instant.hpp"
#include "io/main_loop.hpp"
#include "io/timer.hpp"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <stdexcept>

namespace fescuevane::bench
{
namespace
{

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

} // namespace

child_process::child_process(std::function<usage()> const& work)
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
    pid_ = pid;
    result_ = ends[0];
}

usage child_process::wait()
{
    usage      result;
    bool const whole = read(result_, &result, sizeof result) == sizeof result;
    close(result_);
    waitpid(pid_, nullptr, 0);
    if (!whole)
    {
        throw std::runtime_error("a measured process failed");
    }
    return result;
}

usage run_measured(std::uint64_t const& calls)
{
    GMainLoop* const loop = g_main_loop_new(nullptr, FALSE);
    usage            before;
    usage            after;
    bool             warm = false;
    io::timer        phase(
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
            phase.arm(io::read_clock().after(measured_micros));
        });
    phase.arm(io::read_clock().after(warm_up_micros));
    g_main_loop_run(loop);
    g_main_loop_unref(loop);
    return {after.cpu_micros_ - before.cpu_micros_,
            after.switches_ - before.switches_, after.calls_ - before.calls_};
}

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

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(
        std::stoul(address.substr(address.find(':') + 1)));
}

} // namespace fescuevane::bench
