// The operator lowers the upper limit of a tenant below what it has running in
// one zone. QUOTA: once only the new version can be in force, no start may bring
// what the tenant has running above the limit, in whichever zone it starts.
#include "harness.hh"

using namespace harness;

int main(int, char** argv)
{
    record::open(argv[1]);
    temporary_folder const folder;
    bool const             trouble = is_trouble();
    record::line("trouble: %s", trouble ? "yes" : "no");

    std::vector<std::string> const zones = {"zone-a", "zone-b", "zone-c"};
    store                          platform("127.0.9.1");
    run_log                        runs;
    constexpr std::int64_t         first_limit = 60'000;
    constexpr std::int64_t         low_limit = 6'000;
    platform.put("op", "config", make_config(3, json::array(), first_limit).dump());
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<host>>   hosts;
    for (std::size_t at = 0; at < zones.size(); ++at)
    {
        std::string const number = std::to_string(at + 1);
        workers.push_back(std::make_unique<worker>("127.0.9.1" + number, "worker-" + number, zones[at],
                                                   "rack-" + number, 32000, platform, runs, "kind-" + number));
        hosts.push_back(std::make_unique<host>(
            host_options{"host-" + number, "127.0.9.2" + number, zones[at], zones, platform.address()},
            folder.path()));
        hosts.back()->start();
    }
    auto const serves = [&]
    {
        return std::all_of(hosts.begin(), hosts.end(), [](auto& one) { return one->is_ready(); }) &&
               platform.list("grant").size() == zones.size();
    };
    if (!wait_until(30'000, serves))
    {
        record::line("the cell doesn't serve");
        finish(hosts, 2);
    }
    sleep_ms(1000);
    constexpr std::int64_t long_cpu = 4'000;
    constexpr std::int64_t short_cpu = 1'500;
    auto const             submit = [&](std::size_t at, std::string const& id, json const& job)
    {
        reply const answer =
            call(hosts[at]->front(), "POST", "/jobs/" + id, "desk.example", "key-cafe", job.dump(), 3000);
        record::line("client hands in %s at host-%zu: %d", id.c_str(), at + 1, answer.status_);
        return answer.status_ == 200;
    };
    std::string const long_id = "00000000000000aa";
    json              long_job = make_job("work 25000", 4, long_cpu);
    long_job["steps"][0]["requirements"] = "kind-1";
    if (!submit(0, long_id, long_job) || !wait_until(5000, [&] { return workers[0]->list_running().size() == 4; }))
    {
        record::line("the long tasks don't start");
        finish(hosts, 2);
    }
    record::line("4 tasks of %lld thousandths of a core run in zone-a, limit %lld", static_cast<long long>(long_cpu),
                 static_cast<long long>(first_limit));
    for (std::size_t const at : {1, 2})
    {
        json short_job = make_job("work 1000", 150, short_cpu);
        short_job["steps"][0]["requirements"] = "kind-" + std::to_string(at + 1);
        if (!submit(at, "000000000000010" + std::to_string(at), short_job))
        {
            finish(hosts, 2);
        }
    }
    sleep_ms(2000);
    std::int64_t const acknowledged = now_ms();
    if (trouble)
    {
        platform.put("op", "config", make_config(7, json::array(), low_limit).dump());
        record::line("the store acknowledges version 7, limit %lld", static_cast<long long>(low_limit));
    }
    // Judged are starts over configApplyMs, and maxStretchMs besides, later.
    constexpr std::int64_t in_force_ms = 7'000;
    sleep_ms(in_force_ms + 7'000);
    int          broken = 0;
    int          starts = 0;
    std::int64_t running = 0;
    for (run_event const& event : runs.list())
    {
        bool const         is_long = event.task_.rfind(long_id, 0) == 0;
        std::int64_t const cpu = is_long ? long_cpu : short_cpu;
        if (event.what_ != "start")
        {
            running -= cpu;
            continue;
        }
        running += cpu;
        if (is_long || event.at_ms_ < acknowledged + in_force_ms)
        {
            continue;
        }
        ++starts;
        // One task more: the largest one.
        std::int64_t const limit = (trouble ? low_limit : first_limit) * 11 / 10 + long_cpu;
        record::line("%s started on %s: the tenant has %lld running, it may have %lld", event.task_.c_str(),
                     event.worker_.c_str(), static_cast<long long>(running), static_cast<long long>(limit));
        broken += running > limit ? 1 : 0;
    }
    record::line("%d of %d starts, 7 s or more after the acknowledgement, brought the tenant above its limit", broken, starts);
    finish(hosts, broken > 0 ? 1 : 0);
}
