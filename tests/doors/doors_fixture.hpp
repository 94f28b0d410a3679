// Purpose: fixture of the tests of a process beside clients that keep no limit.
#ifndef FESCUEVANE_TESTS_DOORS_DOORS_FIXTURE_HPP
#define FESCUEVANE_TESTS_DOORS_DOORS_FIXTURE_HPP

#include "tests/doors/crowd.hpp"
#include "tests/doors/running_process.hpp"

#include <doctest/doctest.h>
#include <unistd.h>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

namespace fescuevane::doors
{

// Limits in the settings of the processes, and the bounds that follow: a
// quarter of the memory for what all clients together send, and all
// descriptors.
constexpr std::size_t memory_mb = 64;
constexpr std::size_t max_descriptors = 400;
constexpr std::size_t max_body_bytes = 65'536;
constexpr std::size_t max_growth_kib = memory_mb * 1024 / 4;

// Addresses of this process alone, so that runs side by side don't meet.
inline std::string make_address(int last, int port)
{
    constexpr int first_octet = 77;
    constexpr int first_octets = 150;
    constexpr int second_octets = 250;
    return "127." +
           std::to_string(first_octet +
                          getpid() / second_octets % first_octets) +
           "." + std::to_string(1 + getpid() % second_octets) + "." +
           std::to_string(last) + ":" + std::to_string(port);
}

inline std::string make_get(std::string const& path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n\r\n";
}

inline std::string make_post(std::string const& path, std::string const& length)
{
    return "POST " + path +
           " HTTP/1.1\r\nHost: desk.example\r\n"
           "X-Team: team-1\r\nContent-Type: application/json\r\n" +
           length + "\r\n\r\n";
}

inline std::string make_post_of(std::string const& path,
                                std::string const& body)
{
    return make_post(path, "Content-Length: " + std::to_string(body.size())) +
           body;
}

inline std::string make_job(std::string const& path)
{
    return make_post_of(path, R"({"taskSpec":"one","steps":[{"count":1,)"
                              R"("cpu":500,"memMb":256,"estimateMs":900}]})");
}

class doors_fixture
{
public:
    doors_fixture()
        : folder_(std::filesystem::temp_directory_path() /
                  ("doors-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(folder_);
    }
    ~doors_fixture()
    {
        process_.reset();
        store_.reset();
        std::filesystem::remove_all(folder_);
    }
    doors_fixture(doors_fixture const&) = delete;
    doors_fixture& operator=(doors_fixture const&) = delete;

    void start_cell()
    {
        std::string const store = make_address(5, 8182);
        std::string const control = make_address(5, 8190);
        store_ = std::make_unique<running_process>(std::vector<std::string>{
            STORE_PROGRAM, "--listen", store, "--control", control});
        std::string const address = make_address(10, 0);
        std::ofstream(folder_ / "cell.yaml")
            << "host: host-1\naddress: "
            << address.substr(0, address.size() - 2)
            << "\nfailure_domain: domain-1\nfailure_domains: [domain-1]"
            << "\nfront: " << make_address(10, 8080)
            << "\nready: " << make_address(10, 8081)
            << "\nfirst_port: 8090\ncpu_share: 1\nstore: " << store
            << "\nmax_lease_ms: 10000\nearly_start_ms: 250"
            << "\nremote_rack_factor: 3\nstop_grace_s: 6"
            << "\nmemory_mb: " << memory_mb
            << "\nmax_descriptors: " << max_descriptors << '\n';
        std::string const config =
            R"({\"version\":1,\"routes\":[{\"name\":\"main\",)"
            R"(\"host\":\"desk.example\",\"prefix\":\"/jobs/\",)"
            R"(\"service\":\"desk\",\"priority\":0,\"maxAttempts\":3,)"
            R"(\"slackFactor\":4,\"sloMs\":3000,\"authExempt\":true}],)"
            R"(\"services\":[{\"name\":\"desk\",\"enforcesCapacity\":false}],)"
            R"(\"tenants\":[],\"limits\":{\"maxBodyBytes\":65536}})";
        wait_for(
            control,
            make_post_of("/rows", R"({"rows":[{"table":"op","key":"config",)"
                                  R"("text":")" +
                                      config + R"("}]})"));
        process_ = std::make_unique<running_process>(std::vector<std::string>{
            PROGRAM, "cell", "--settings", folder_ / "cell.yaml"});
        wait_for(make_address(10, 8081), make_get("/"));
        wait_for(make_address(10, 8080), make_job("/jobs/a0"));
    }

    // Lists a target for the process of the cell.
    static void list_target(std::string const& id, std::string const& address)
    {
        std::string const entry =
            R"({\"service\":\"desk\",\"addr\":\")" + address +
            R"(\",\"zone\":\"domain-1\",\"version\":\"1\",\"slots\":8,)"
            R"(\"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,)"
            R"(\"capacity\":{\"cpu\":4000,\"memMb\":8192,\"gpu\":0},)"
            R"(\"labels\":[\"a\",\"r-1\"],\"born\":1000})";
        wait_for(make_address(5, 8190),
                 make_post_of("/rows",
                              R"({"rows":[{"table":"servers","key":")" + id +
                                  R"(","text":")" + entry + R"("}]})"));
    }

    void start_plain()
    {
        std::ofstream(folder_ / "plain.yaml")
            << "host: entry-1\nfailure_domain: domain-1\nhttp_address: \""
            << make_address(10, 8080) << "\"\npeer_address: \""
            << make_address(10, 8090) << "\"\nplatform_address: \""
            << make_address(5, 8182)
            << "\"\nfailure_domains:\n  - {id: domain-1, shards: 1}\n"
            << "bounds:\n  max_body_bytes: " << max_body_bytes
            << "\n  memory_mb: " << memory_mb
            << "\n  max_descriptors: " << max_descriptors << '\n';
        process_ = std::make_unique<running_process>(std::vector<std::string>{
            PROGRAM, "--settings", folder_ / "plain.yaml"});
        wait_for(make_address(10, 8080), make_get("/healthz"));
    }

    // The state before the crowd.
    void note_start()
    {
        REQUIRE(process_->is_alive());
        start_kib_ = process_->resident_kib();
    }

    void check_bounds() const
    {
        REQUIRE(process_->is_alive());
        std::size_t const most = process_->most_resident_kib();
        MESSAGE("KiB at the start " << start_kib_ << ", at most " << most
                                    << ", descriptors "
                                    << process_->descriptors());
        CHECK(most <= start_kib_ + max_growth_kib);
        CHECK(process_->descriptors() <= max_descriptors);
    }

private:
    static void wait_for(std::string const& address, std::string const& text)
    {
        constexpr int  tries = 600;
        constexpr auto pause = std::chrono::milliseconds(50);
        int            status = 0;
        for (int count = 0; count < tries && status != 200; ++count)
        {
            std::this_thread::sleep_for(pause);
            status = request(address, text);
        }
        REQUIRE(status == 200);
    }

    std::filesystem::path const      folder_;
    std::unique_ptr<running_process> store_;
    std::unique_ptr<running_process> process_;
    std::size_t                      start_kib_ = 0;
};

} // namespace fescuevane::doors

#endif
