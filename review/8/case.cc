// The open connections of one host to the platform's store go silent; new ones
// work.
// From 3 s (contactMs) later on the host is in touch again. A configuration that
// withdraws a key is acknowledged then. CONFIG: jobs that are handed in with that
// key over 2 s (configApplyMs) later must not be accepted.
#include "harness.hh"

using namespace harness;

int main(int, char** argv)
{
    record::open(argv[1]);
    temporary_folder const folder;
    bool const             trouble = is_trouble();
    constexpr int          readers = 30;
    record::line("trouble: %s", trouble ? "yes" : "no");

    std::vector<std::string> const zones = {"zone-a", "zone-b", "zone-c"};
    store                          platform("127.0.8.1");
    run_log                        runs;
    auto const config = [](int version, bool with_key)
    {
        json value = make_config(version);
        if (with_key)
        {
            value["tenants"][0]["apiKeys"].push_back("key-old");
        }
        return value.dump();
    };
    platform.put("op", "config", config(3, true));
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<host>>   hosts;
    for (std::size_t at = 0; at < zones.size(); ++at)
    {
        std::string const number = std::to_string(at + 1);
        workers.push_back(std::make_unique<worker>("127.0.8.1" + number, "worker-" + number, zones[at],
                                                   "rack-" + number, 16000, platform, runs));
        std::size_t const link = platform.add_listener("127.0.8.3" + number);
        hosts.push_back(std::make_unique<host>(
            host_options{"host-" + number, "127.0.8.2" + number, zones[at], zones,
                         platform.listener(link).address()},
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
    auto const make_id = [](int number)
    {
        char id[20];
        std::snprintf(id, sizeof id, "%016x", number);
        return std::string(id);
    };
    for (int job = 0; job < 3 * readers; ++job)
    {
        reply const answer = call(hosts[0]->front(), "POST", "/jobs/" + make_id(0x1000 + job), "desk.example",
                                  "key-cafe", make_job("work 200", 1, 500).dump(), 3000);
        if (answer.status_ != 200)
        {
            record::line("a job isn't accepted: %d", answer.status_);
            finish(hosts, 2);
        }
    }
    // Clients ask for the states of their jobs at the second host.
    for (int round = 0; round < 3; ++round)
    {
        std::vector<std::thread> clients;
        std::atomic<int>         good{0};
        for (int client = 0; client < readers; ++client)
        {
            clients.emplace_back(
                [&, job = round * readers + client]
                {
                    good += call(hosts[1]->front(), "GET", "/jobs/" + make_id(0x1000 + job), "desk.example",
                                 "key-cafe", "", 3000)
                                    .status_ == 200
                                ? 1
                                : 0;
                });
        }
        for (auto& client : clients)
        {
            client.join();
        }
        record::line("%d clients ask for states at host-2, %d get 200", readers, good.load());
        sleep_ms(300);
    }
    sleep_ms(500);

    std::int64_t const silent_at = now_ms();
    if (trouble)
    {
        std::size_t const count = platform.listener(1).silence_all();
        record::line("the %zu connections of host-2 to the store go silent, new ones work", count);
    }
    sleep_ms(3200 - (now_ms() - silent_at));
    platform.put("op", "config", config(7, false));
    std::int64_t const acknowledged = now_ms();
    record::line("the store acknowledges version 7, without the key");
    int broken = 0;
    int calls = 0;
    int job = 0x2000;
    while (now_ms() < acknowledged + 12'000)
    {
        std::int64_t const sent = now_ms();
        std::string const  id = make_id(job++);
        reply const answer = call(hosts[1]->front(), "POST", "/jobs/" + id, "desk.example", "key-old",
                                  make_job("work 200", 1, 500).dump(), 1000);
        bool const  late = sent > acknowledged + 2'000;
        record::line("client hands in %s at host-2 with the withdrawn key, %lld ms after the acknowledgement: %d%s",
                     id.c_str(), static_cast<long long>(sent - acknowledged), answer.status_,
                     late && answer.status_ == 200 ? ", late" : "");
        if (late)
        {
            ++calls;
            broken += answer.status_ == 200 ? 1 : 0;
        }
        sleep_ms(250);
    }
    record::line("%d of %d late calls with the withdrawn key got 200", broken, calls);
    finish(hosts, broken > 0 ? 1 : calls > 0 ? 0 : 2);
}
